//! Headers that pass between callers and plain services.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use samphirespread_wire::message::HeaderPair;

// Headers that end at this hop, and those that carry or could carry a caller's key.
const STOPPED: [HeaderName; 13] = [
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

const STOPPED_NAMES: [&str; 4] = ["keep-alive", "proxy-connection", "x-api-key", "api-key"];

/// The headers that may pass on, without any that holds the caller's key.
pub(crate) fn passing(headers: &HeaderMap, key: Option<&str>) -> Vec<HeaderPair> {
    let named = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| may_pass(name) && !named.iter().any(|n| n == name.as_str()))
        .filter(|(_, value)| !holds(value, key))
        .map(|(name, value)| HeaderPair {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Puts headers that came from a plain service into an answer.
pub(crate) fn restore(pairs: &[HeaderPair], into: &mut HeaderMap) {
    for pair in pairs {
        let name = HeaderName::from_bytes(pair.name.as_bytes());
        let value = HeaderValue::from_bytes(&pair.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && may_pass(&name)
        {
            into.append(name, value);
        }
    }
}

fn may_pass(name: &HeaderName) -> bool {
    !STOPPED.contains(name) && !STOPPED_NAMES.contains(&name.as_str())
}

// The Connection header names further headers that end at this hop.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn holds(value: &HeaderValue, key: Option<&str>) -> bool {
    let Some(key) = key.filter(|key| !key.is_empty()) else { return false };
    value.as_bytes().windows(key.len()).any(|window| window == key.as_bytes())
}
