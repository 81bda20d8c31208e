"""The JSON of GET /status at a registry. The keys are part of the operators' interface and are fixed."""

from __future__ import annotations

from irisdeal.ratelimit.messages import encode_usages
from irisdeal.registry.admission_service import AdmissionService
from irisdeal.registry.backend_table import BackendEntry, BackendTable
from irisdeal.registry.store_client import StoreClient


def registry_status(
    store_client: StoreClient, backends: BackendTable, admission: AdmissionService, now: float
) -> dict[str, object]:
    """Return the registry's state for operators; `now`: s on the local clock."""
    quotas, authority = admission.quotas, admission.authority
    total = quotas.counter.total
    return {
        "generation": f"r{store_client.version_id.number}" if store_client.version else None,
        "change": store_client.change,
        "contact_age_s": store_client.state_age_s(),
        "store": store_client.source,
        "members": list(store_client.members.seats),
        "learners": sorted(store_client.learners),
        "doors": total.proxies,
        "interval": total.number,
        "tenants": encode_usages(total.usages),
        "issuing": authority.may_issue(store_client.state_age_s(), now),
        "issuers": authority.issuers(now),
        "permits": {
            tenant: {"ready": round(count, 1), "held_ahead": quotas.issuer.outstanding.total(tenant)}
            for tenant, count in quotas.issuer.partly_used(now).items()
        },
        "backends": [_backend_status(entry, now) for entry in backends.entries.values()],
    }


def _backend_status(entry: BackendEntry, now: float) -> dict[str, object]:
    return {
        "id": entry.incarnation.id,
        "service": entry.incarnation.service,
        "zone": entry.incarnation.zone,
        "state": entry.incarnation.state.name.lower(),
        "silent": entry.is_unresponsive,
        "heard_s": round(now - entry.last_heartbeat_at, 2),
    }
