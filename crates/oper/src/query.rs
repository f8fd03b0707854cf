//! Parsing of URL queries.

/// The decoded value of a key in a query such as `a=1&b=2`.
pub fn query_value(query: &str, key: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == key)?;
    Some(percent_decode(value))
}

/// Decodes `%xx` and `+`. An invalid escape is kept unchanged.
fn percent_decode(value: &str) -> String {
    let mut bytes = Vec::with_capacity(value.len());
    let mut remaining = value.as_bytes();
    while let [first, tail @ ..] = remaining {
        remaining = tail;
        match (first, decode_hex_pair(tail)) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                remaining = &tail[2..];
            }
            (b'+', _) => bytes.push(b' '),
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn decode_hex_pair(bytes: &[u8]) -> Option<u8> {
    let digit = |byte: &u8| char::from(*byte).to_digit(16);
    let [high, low, ..] = bytes else {
        return None;
    };
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}
