#!/bin/sh
exec python3 "$(dirname "$0")/case_7.py"
