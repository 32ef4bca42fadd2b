//! Removal of hop-by-hop headers, which a proxy must not forward, and the type of a body.

use http::{HeaderMap, header};

/// Headers that apply to one connection only.
const HOP_BY_HOP: [&str; 9] = [
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

/// Returns the headers without the hop-by-hop ones, including those that the `Connection`
/// header names.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let nominated: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in nominated.iter().map(String::as_str).chain(HOP_BY_HOP) {
        forwarded.remove(name);
    }
    forwarded
}

/// Whether the body may be an event stream: its type is that or is not announced.
pub(super) fn may_be_event_stream(headers: &HeaderMap) -> bool {
    let announced = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    announced.is_none_or(|announced| {
        let essence = announced.split(';').next().unwrap_or_default().trim();
        essence.eq_ignore_ascii_case("text/event-stream")
    })
}
