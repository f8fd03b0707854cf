//! Splitting the bytes of a stream into events.

use arbtest::arbtest;
use front::{EventSplitter, EventTooLarge};

/// An event's bytes and its id.
type SplitEvent = (Vec<u8>, Option<u64>);

/// Returns the events in the chunks, and whether a partial one is left.
fn split(chunks: &[&[u8]]) -> (Vec<SplitEvent>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).expect("small events");
        while let Some(event) = splitter.next_event() {
            events.push((event.bytes.to_vec(), event.id));
        }
    }
    (events, splitter.has_partial_event())
}

#[test]
fn events_end_with_an_empty_line_and_a_partial_event_is_held_back() {
    let bytes = b"id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\nda";
    let (events, partial) = split(&[bytes]);
    let ids: Vec<Option<u64>> = events.iter().map(|(_, id)| *id).collect();
    assert_eq!(ids, [Some(7), Some(8)]);
    assert!(partial);
}

/// The same events result however the network splits a stream, and together
/// with what is held back they equal the bytes received.
#[test]
fn chunk_boundaries_do_not_change_the_events() {
    for case in 1..=300u64 {
        arbtest(|random| {
            let lines: [&[u8]; 6] = [
                b"id: 1\n",
                b"data: x\n",
                b"\n",
                b"\r\n",
                b": note\n",
                b"id: z\n",
            ];
            let mut whole = Vec::new();
            for _ in 0..random.int_in_range(0..=30)? {
                whole.extend_from_slice(random.choose(&lines)?);
            }
            let (at_once, partial) = split(&[&whole]);
            let mut chunks = Vec::new();
            let mut rest: &[u8] = &whole;
            while !rest.is_empty() {
                let length = random.int_in_range(1..=rest.len())?;
                let (chunk, remaining) = rest.split_at(length);
                chunks.push(chunk);
                rest = remaining;
            }
            assert_eq!(split(&chunks), (at_once.clone(), partial));
            let joined: Vec<u8> =
                at_once.into_iter().flat_map(|(bytes, _)| bytes).collect();
            assert!(whole.starts_with(&joined));
            assert_eq!(partial, joined.len() < whole.len());
            Ok(())
        })
        .seed((case << 32) | 600)
        .run();
    }
}

#[test]
fn unterminated_event_takes_bounded_memory() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 64 << 10];
    let pushed = (0..100).map(|_| splitter.push(&chunk));
    let accepted = pushed.take_while(Result::is_ok).count();
    assert!(accepted <= 4, "{accepted}");
    assert_eq!(splitter.push(&chunk), Err(EventTooLarge));
}
