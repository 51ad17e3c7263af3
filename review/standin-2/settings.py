"""Configs of the platform's operator, with the figures of the sheet of Kumbukumbu, Nairobi."""

HOST = "ficu95.example"
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
SCRIBE_POOL = {
    "name": "scribe-pool",
    "health-path": "/health",
    "max-connections": 610,
    "protocol": "h1",
    "tls": False,
    "engine": {"slots": 128, "kv-capacity": 264479, "kv-token-bytes": 131072, "link-mbps": 130000.0, "stride": 3},
}
RATE_PER_S = 59302


def streaming_route(name, aim_ms, timeout_ms, priority, attempts, resumable):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": "/%s/" % name,
        "kind": "streaming",
        "timeout-ms": timeout_ms,
        "target-latency-ms": aim_ms,
        "priority": priority,
        "service": "scribe-pool",
        "max-attempts": attempts,
        "public": False,
        "sticky": True,
        "resumable": resumable,
        "gap-aim-ms": 500,
    }


def tenant(name):
    return {
        "name": name,
        "api-keys": ["key-of-" + name],
        "unit": "tokens",
        "plain-tokens": 200,
        "rate-per-s": RATE_PER_S,
        "burst": RATE_PER_S,
    }


def config(routes, tenants):
    return {
        "version": 1,
        "routes": routes,
        "services": [SCRIBE_POOL],
        "limits": LIMITS,
        "tenants": [tenant(name) for name in tenants],
    }
