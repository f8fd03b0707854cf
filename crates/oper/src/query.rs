//! Values in the query of a path.

/// The value of a key in a query (`a=1&b=2`), with its escapes resolved.
pub fn query_value(query: &str, key: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == key)?;
    Some(unescaped(value))
}

/// Resolves `%xx` and `+`; an escape that is none stands as it is.
fn unescaped(value: &str) -> String {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        match (first, hex_pair(tail)) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => bytes.push(b' '),
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn hex_pair(bytes: &[u8]) -> Option<u8> {
    let digit = |byte: &u8| char::from(*byte).to_digit(16);
    let [high, low, ..] = bytes else {
        return None;
    };
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}
