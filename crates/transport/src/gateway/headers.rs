//! Headers that do not pass from one connection to the next.

use http::{HeaderMap, header};

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers without those that concern one connection only.
pub(super) fn pass_on(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(CONNECTION_HEADERS) {
        kept.remove(name);
    }
    kept
}
