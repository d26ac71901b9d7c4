import sys
from damaskwind.decisions.load import probe_budget as P
P.MAX_PROBE_SHARE=float(sys.argv[1]); P.RISKY_START_SHARE=float(sys.argv[2])
sys.argv=["x",*sys.argv[3:]]
exec(open("/tmp/runA.py").read())
