//! Padded base64 (RFC 4648), in which the object API's lists carry values.

const ALPHABET: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes `bytes` as padded base64.
pub(crate) fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let six = (bits >> (18 - 6 * position)) & 63;
            let padding = position > group.len();
            text.push(if padding {
                '='
            } else {
                ALPHABET[six as usize] as char
            });
        }
    }
    text
}
