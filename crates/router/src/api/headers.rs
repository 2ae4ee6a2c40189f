//! Filters the headers that are forwarded between callers and plain services.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use samphirespread_wire::message::HeaderPair;

// Hop-by-hop headers, and those that contain or could contain a caller's key.
const BLOCKED: [HeaderName; 13] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::SET_COOKIE,
];

const BLOCKED_NAMES: [&str; 4] = ["keep-alive", "proxy-connection", "x-api-key", "api-key"];

/// Returns the headers that may be forwarded, without those whose value contains the caller's key.
pub(crate) fn forwardable(headers: &HeaderMap, key: Option<&str>) -> Vec<HeaderPair> {
    let listed = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| may_forward(name) && !listed.iter().any(|n| n == name.as_str()))
        .filter(|(_, value)| !contains_key(value, key))
        .map(|(name, value)| HeaderPair {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Adds the headers that a plain service sent to the answer for the caller.
pub(crate) fn append_to(pairs: &[HeaderPair], into: &mut HeaderMap) {
    for pair in pairs {
        let name = HeaderName::from_bytes(pair.name.as_bytes());
        let value = HeaderValue::from_bytes(&pair.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && may_forward(&name)
        {
            into.append(name, value);
        }
    }
}

fn may_forward(name: &HeaderName) -> bool {
    !BLOCKED.contains(name) && !BLOCKED_NAMES.contains(&name.as_str())
}

// The Connection header lists further hop-by-hop headers.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn contains_key(value: &HeaderValue, key: Option<&str>) -> bool {
    let Some(key) = key.filter(|key| !key.is_empty()) else { return false };
    value.as_bytes().windows(key.len()).any(|window| window == key.as_bytes())
}
