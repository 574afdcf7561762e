//! Schema of the named sections: sites, hosts, pools, services, endpoints and accounts.

use super::Fallback::Mandatory;
use super::Fallback::Unset;
use super::Fallback::Value;
use super::Scope::Fleet;
use super::Scope::Site;
use super::SectionSchema;
use super::Unit::Count;
use super::Unit::PerSecond;
use super::ValueKind::Address;
use super::ValueKind::Choice;
use super::ValueKind::Digest;
use super::ValueKind::Flag;
use super::ValueKind::Name;
use super::ValueKind::Reference;
use super::integer;
use super::key;

/// Schema of `[site.NAME]`.
pub(super) const SITE: SectionSchema = SectionSchema {
    name: "site",
    is_named: true,
    doc: "A site (data centre).",
    keys: &[key(
        "region",
        Name,
        Value("main"),
        Fleet,
        "Region the site lies in.",
    )],
};

/// Schema of `[host.NAME]`.
pub(super) const HOST: SectionSchema = SectionSchema {
    name: "host",
    is_named: true,
    doc: "A host that runs one router.",
    keys: &[
        key(
            "site",
            Reference("site"),
            Mandatory,
            Fleet,
            "Site it stands in.",
        ),
        key(
            "caller_address",
            Address,
            Mandatory,
            Site,
            "Where callers connect.",
        ),
        key(
            "peer_address",
            Address,
            Mandatory,
            Site,
            "Where other routers connect.",
        ),
        key(
            "operator_address",
            Address,
            Mandatory,
            Site,
            "Where operators and metric collectors connect.",
        ),
        key(
            "coordinator_address",
            Address,
            Unset,
            Site,
            "Where operators of its coordinator connect; a host without it runs no coordinator.",
        ),
    ],
};

/// Schema of `[pool.NAME]`.
pub(super) const POOL: SectionSchema = SectionSchema {
    name: "pool",
    is_named: true,
    doc: "Endpoints that share the same work.",
    keys: &[
        key(
            "kind",
            Choice(&["model", "plain"]),
            Value("model"),
            Fleet,
            "What its endpoints speak: the chat-completions form, or plain HTTP.",
        ),
        key(
            "floor",
            integer(Count, 0, 100_000),
            Value("0"),
            Fleet,
            "Fewest endpoints that orders must leave serving; at most the endpoints of the pool.",
        ),
    ],
};

/// Schema of `[service.NAME]`.
pub(super) const SERVICE: SectionSchema = SectionSchema {
    name: "service",
    is_named: true,
    doc: "What callers address: a model service by the request's `model` field, a plain service by the path `/services/NAME/...`.",
    keys: &[
        key(
            "pool",
            Reference("pool"),
            Mandatory,
            Fleet,
            "Pool that runs it.",
        ),
        key(
            "repeatable",
            Flag,
            Mandatory,
            Fleet,
            "Whether a request may run more than once.",
        ),
        key(
            "class",
            Choice(&["interactive", "deferred"]),
            Value("interactive"),
            Fleet,
            "Rank within one client account; interactive requests go first.",
        ),
    ],
};

/// Schema of `[endpoint.NAME]`.
pub(super) const ENDPOINT: SectionSchema = SectionSchema {
    name: "endpoint",
    is_named: true,
    doc: "One model engine or plain service process.",
    keys: &[
        key(
            "pool",
            Reference("pool"),
            Mandatory,
            Fleet,
            "Pool it belongs to.",
        ),
        key(
            "site",
            Reference("site"),
            Mandatory,
            Fleet,
            "Site it stands in.",
        ),
        key("address", Address, Mandatory, Site, "Where it listens."),
        key(
            "slots",
            integer(Count, 1, 100_000),
            Mandatory,
            Fleet,
            "Requests it may run at once.",
        ),
        key(
            "checks_fencing",
            Flag,
            Value("no"),
            Fleet,
            "Whether it refuses orders with an old fencing number.",
        ),
    ],
};

/// Schema of `[account.NAME]`.
pub(super) const ACCOUNT: SectionSchema = SectionSchema {
    name: "account",
    is_named: true,
    doc: "A client account.",
    keys: &[
        key(
            "weight",
            integer(Count, 1, 10_000),
            Value("1"),
            Fleet,
            "Share relative to other accounts.",
        ),
        key(
            "key_sha256",
            Digest,
            Mandatory,
            Fleet,
            "SHA-256 of the account's key.",
        ),
        key(
            "max_in_progress",
            integer(Count, 0, 1_000_000),
            Value("0"),
            Fleet,
            "Most requests in progress at once across the fleet; 0 means no ceiling.",
        ),
        key(
            "max_requests_per_s",
            integer(PerSecond, 0, 1_000_000),
            Value("0"),
            Fleet,
            "Most requests started a second across the fleet; 0 means no ceiling.",
        ),
    ],
};
