//! Header names and paths on the wire.

use actix_http::header::{HeaderMap, HeaderName, CONNECTION};

pub const ID: &str = "req-id";
pub const METHOD: &str = "req-kind";
pub const TENANT: &str = "req-owner";
/// Further attributes of an RPC, including its cache key.
pub const EXTRA: &str = "req-extra";
pub const DEADLINE: &str = "req-deadline-ms";
pub const KEY: &str = "idempotency-key";
pub const LOAD: &str = "srv-load";
pub const DECLINED: &str = "srv-declined";

pub const READY_PATH: &str = "/-/ready";
pub const LIST_PATH: &str = "/api/targets";

/// Hop-by-hop headers, and those that the HTTP library writes itself.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those that `Connection` names, and `others`.
pub fn keep_end_to_end(headers: &mut HeaderMap, others: &[&str]) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP.iter().chain(others) {
        headers.remove(*name);
    }
}
