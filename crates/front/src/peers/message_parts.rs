//! Sizes of the parts of a message between entries.

use prost::Message;
use prost::encoding::encoded_len_varint;
use schema::peer::PeerNews;

/// Returns the name and the encoded size in bytes of each part of a message that can be
/// large.
pub(super) fn part_sizes(message: &PeerNews) -> [(&'static str, usize); 10] {
    let watched = message.setup.iter().chain(&message.upstreams);
    [
        (
            "uses",
            encoded_bytes(&message.uses) + encoded_bytes(&message.packed_uses),
        ),
        ("demands", encoded_bytes(&message.demands)),
        ("wants", encoded_bytes(&message.wants)),
        ("leaving", encoded_bytes(&message.leaving)),
        ("holdings", encoded_bytes(&message.holdings)),
        ("suspects", encoded_bytes(&message.suspects)),
        ("suspect_parts", encoded_bytes(&message.suspect_parts)),
        ("rates", encoded_bytes(&message.rates)),
        ("service_shares", encoded_bytes(&message.service_shares)),
        ("platform_watch", encoded_bytes(watched)),
    ]
}

fn encoded_bytes<'a, M: Message + 'a>(parts: impl IntoIterator<Item = &'a M>) -> usize {
    let sizes = parts.into_iter().map(|part| {
        let bytes = part.encoded_len();
        // One byte holds the tag of most fields, and two the others.
        1 + encoded_len_varint(bytes as u64) + bytes
    });
    sizes.sum()
}
