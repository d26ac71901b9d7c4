"""Small configuration objects for tests to plan and confirm."""

from damaskwind.control.operator_api.authentication import hash_key

ADMIN_KEY = "dw-admin-secret"
VIEWER_KEY = "dw-viewer-secret"
PLANNER_KEY = "dw-planner-secret"
ACCOUNT_KEY = "dw-account-secret"
BOOTSTRAP_KEY = "dw-bootstrap-secret"
SECRETS = (ADMIN_KEY, VIEWER_KEY, PLANNER_KEY, ACCOUNT_KEY, BOOTSTRAP_KEY)


def operators():
    return {
        "operators": {
            "mei": {"key_hash": hash_key(ADMIN_KEY), "roles": ["planner", "confirmer"]},
            "tuan": {"key_hash": hash_key(PLANNER_KEY), "roles": ["planner"]},
            "lin": {"key_hash": hash_key(VIEWER_KEY), "roles": ["viewer"]},
        }
    }


def priority_class(name="interactive", rank=0):
    return {"priority_classes": {name: {"rank": rank, "weight": 8}}}


def base_objects():
    return {
        **priority_class(),
        "services": {"pool": {"kind": "engine"}},
        "models": {
            "register": {
                "service": "pool",
                "default_version": "v1",
                "versions": [{"version": "v1", "adapters": ["tags"]}, {"version": "v2"}],
            }
        },
        "accounts": {"clerks": account()},
    }


def account(**changes):
    fields = {
        "key_hashes": [hash_key(ACCOUNT_KEY)],
        "priority_class": "interactive",
        "max_concurrent_requests": 10,
        "max_tokens_per_s": 1000.0,
        "models": [{"model": "register", "version": "v1", "adapters": ["tags"]}],
    }
    return {**fields, **changes}
