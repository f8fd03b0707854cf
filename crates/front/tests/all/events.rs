//! Splitting the bytes of a stream into events.

use arbtest::arbtest;
use front::{EventSplitter, EventTooLarge};

/// An event's bytes and its id.
type Cut = (Vec<u8>, Option<u64>);

/// Returns the events in the pieces, and whether a partial one is left.
fn cut(pieces: &[&[u8]]) -> (Vec<Cut>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece).expect("small events");
        while let Some(event) = splitter.next_event() {
            events.push((event.bytes.to_vec(), event.id));
        }
    }
    (events, splitter.has_partial_event())
}

#[test]
fn events_end_with_an_empty_line_and_the_rest_is_held() {
    let bytes = b"id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\nda";
    let (events, inside) = cut(&[bytes]);
    let ids: Vec<Option<u64>> = events.iter().map(|(_, id)| *id).collect();
    assert_eq!(ids, [Some(7), Some(8)]);
    assert!(inside);
}

/// The same events result however the network splits a stream, and together
/// with what is held back they equal the bytes received.
#[test]
fn pieces_of_any_size_give_the_same_events() {
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
            let (at_once, inside) = cut(&[&whole]);
            let mut pieces = Vec::new();
            let mut rest: &[u8] = &whole;
            while !rest.is_empty() {
                let length = random.int_in_range(1..=rest.len())?;
                let (piece, behind) = rest.split_at(length);
                pieces.push(piece);
                rest = behind;
            }
            assert_eq!(cut(&pieces), (at_once.clone(), inside));
            let given: Vec<u8> =
                at_once.into_iter().flat_map(|(bytes, _)| bytes).collect();
            assert!(whole.starts_with(&given));
            assert_eq!(inside, given.len() < whole.len());
            Ok(())
        })
        .seed((case << 32) | 600)
        .run();
    }
}

#[test]
fn bytes_without_an_end_of_an_event_take_no_unbounded_memory() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 64 << 10];
    let pushed = (0..100).map(|_| splitter.push(&piece));
    let taken = pushed.take_while(Result::is_ok).count();
    assert!(taken <= 4, "{taken}");
    assert_eq!(splitter.push(&piece), Err(EventTooLarge));
}
