//! Links between two processes over the loopback interface.

use base::ErrorCode;
use prost::Message;
use schema::link::{ConfigAsk, Frame, Hello, frame};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::{Link, LinkReceiver, LinkSender, Listener, WireError, connect};

const FRAME_MAX_BYTES: u32 = 4_096;

/// Time after which a test fails if an expected event does not occur.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Longer than any timeout under test; elapses at once on a paused clock.
const HOUR: Duration = Duration::from_secs(3_600);

fn any_loopback_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a literal address")
}

fn config_ask(after_revision: u64) -> Frame {
    Frame {
        clock_us: 1,
        revision: 2,
        body: Some(frame::Body::ConfigAsk(ConfigAsk { after_revision })),
    }
}

/// Returns a `Hello` frame padded with `padding_bytes` bytes.
fn hello(id: &str, padding_bytes: usize) -> Frame {
    Frame {
        body: Some(frame::Body::Hello(Hello {
            id: id.to_owned(),
            failure_domain: "x".repeat(padding_bytes),
            ..Hello::default()
        })),
        ..Frame::default()
    }
}

/// Returns the two ends of a link.
async fn link_pair() -> (Link, Link) {
    let listener = Listener::bind(any_loopback_port(), FRAME_MAX_BYTES)
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) =
        tokio::join!(connect(address, FRAME_MAX_BYTES), listener.accept());
    (near.unwrap(), far.unwrap())
}

/// Returns one end of a link and the plain TCP stream of the other.
async fn link_to_raw_peer() -> (LinkSender, LinkReceiver, TcpStream) {
    let listener = Listener::bind(any_loopback_port(), FRAME_MAX_BYTES)
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let (peer, link) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (sender, receiver) = link.unwrap().split();
    (sender, receiver, peer.unwrap())
}

#[tokio::test]
async fn frames_arrive_intact_and_in_order_in_both_directions() {
    let (near, far) = link_pair().await;
    let (near_sender, mut near_receiver) = near.split();
    let (far_sender, mut far_receiver) = far.split();
    let send = async {
        for n in 0..3_000 {
            near_sender.send(config_ask(n)).await.unwrap();
        }
        far_sender.send(hello("far", 100)).await.unwrap();
    };
    let receive = async {
        for n in 0..3_000 {
            assert_eq!(far_receiver.recv().await.unwrap(), Some(config_ask(n)));
        }
        assert_eq!(near_receiver.recv().await.unwrap(), Some(hello("far", 100)));
    };
    tokio::join!(send, receive);
}

/// A protocol violation by the peer and the expected error.
struct Violation {
    name: &'static str,
    bytes: Vec<u8>,
    code: ErrorCode,
}

fn with_length_prefix(length: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

// A peer sends an invalid frame and then a valid one. The receiver must report an
// error with a code and close the link, also for its senders. It must not accept the
// valid frame: after an invalid one, the start of the next frame is uncertain.
#[tokio::test]
async fn invalid_frames_close_the_link_with_an_error_code() {
    let valid = config_ask(1).encode_to_vec();
    let violations = [
        Violation {
            name: "length above the limit",
            bytes: with_length_prefix(FRAME_MAX_BYTES + 1, &[]),
            code: ErrorCode::BadFrame,
        },
        Violation {
            name: "length of 4 GiB",
            bytes: with_length_prefix(u32::MAX, &[]),
            code: ErrorCode::BadFrame,
        },
        Violation {
            name: "not a protobuf message",
            bytes: with_length_prefix(4, &[0xff; 4]),
            code: ErrorCode::BadFrame,
        },
        Violation {
            name: "field longer than its message",
            bytes: with_length_prefix(3, &[0x1a, 0x7f, 0x00]),
            code: ErrorCode::BadFrame,
        },
        Violation {
            name: "connection closed within a frame",
            bytes: with_length_prefix(100, &[0x08]),
            code: ErrorCode::Unreachable,
        },
    ];
    for violation in violations {
        let (sender, mut receiver, mut peer) = link_to_raw_peer().await;
        peer.write_all(&violation.bytes).await.unwrap();
        if violation.code == ErrorCode::BadFrame {
            let next = with_length_prefix(u32::try_from(valid.len()).unwrap(), &valid);
            peer.write_all(&next).await.unwrap();
        } else {
            peer.shutdown().await.unwrap();
        }
        let received = tokio::time::timeout(TEST_TIMEOUT, receiver.recv()).await;
        let error = received.expect(violation.name).expect_err(violation.name);
        assert_eq!(error.code(), violation.code, "{}: {error}", violation.name);
        assert!(sender.is_closed(), "{}", violation.name);
        assert!(
            sender.send(config_ask(1)).await.is_err(),
            "{}",
            violation.name
        );
        assert_eq!(receiver.recv().await.unwrap(), None, "{}", violation.name);
    }
}

#[tokio::test]
async fn an_oversized_frame_is_rejected_before_it_is_enqueued() {
    let (near, far) = link_pair().await;
    let (sender, _receiver) = near.split();
    let (_, mut far_receiver) = far.split();
    let large = hello("near", FRAME_MAX_BYTES as usize);
    let error = sender
        .send(large)
        .await
        .expect_err("the frame is too large");
    assert_eq!(error.code(), ErrorCode::BadFrame);
    sender.send(config_ask(7)).await.unwrap();
    assert_eq!(far_receiver.recv().await.unwrap(), Some(config_ask(7)));
}

// The peer's process is frozen: its socket is open but accepts no data. A sender that
// does not wait must get an error after a limited number of frames. A sender that waits
// must be released when the write times out, and the link must then be closed.
#[tokio::test]
async fn a_frozen_peer_exhausts_no_memory_and_blocks_no_sender() {
    const FRAMES_MAX: usize = 10_000;
    for padding_bytes in [0, 4_000] {
        let (sender, _receiver, _peer) = link_to_raw_peer().await;
        let sent =
            (0..FRAMES_MAX).map(|_| sender.try_send(hello("near", padding_bytes)));
        let error = sent.filter_map(Result::err).next();
        assert!(
            matches!(error, Some(WireError::QueueFull)),
            "{padding_bytes}: {error:?}"
        );
    }
    let (sender, _receiver, _peer) = link_to_raw_peer().await;
    tokio::time::pause();
    let waiting = async {
        loop {
            if let Err(error) = sender.send(hello("near", 4_000)).await {
                break error;
            }
        }
    };
    let released = tokio::time::timeout(HOUR, waiting).await;
    let error = released.expect("the sender is blocked forever");
    assert!(matches!(error, WireError::Closed), "{error}");
    assert!(sender.is_closed());
}

// The peer reads slowly, and parts of answers exhaust their budget in the queue.
// Further permits must wait, but small frames that are sent without waiting must still
// be accepted. Otherwise a slow reader would be mistaken for a dead link.
#[tokio::test]
async fn reserved_frames_leave_capacity_for_small_frames() {
    let (sender, _receiver, _peer) = link_to_raw_peer().await;
    let mut permits = Vec::new();
    let must_wait = loop {
        tokio::select! {
            biased;
            permit = sender.reserve(4_000) => permits.push(permit.unwrap()),
            () = std::future::ready(()) => break true,
        }
        assert!(permits.len() < 10_000, "reservations are unlimited");
    };
    assert!(must_wait);
    for permit in permits {
        permit.send(&hello("near", 4_000)).unwrap();
    }
    for n in 0..300 {
        sender.try_send(config_ask(n)).unwrap();
    }
    let closed_sender = sender.clone();
    sender.close();
    assert!(closed_sender.reserve(1).await.is_err());
}

// A process drops its senders but continues to receive. The peer must see the link
// close only when the receiver is dropped too.
#[tokio::test]
async fn the_link_closes_when_both_halves_are_dropped() {
    let (near, far) = link_pair().await;
    let (near_sender, mut near_receiver) = near.split();
    let (far_sender, mut far_receiver) = far.split();
    near_sender.send(config_ask(1)).await.unwrap();
    drop(near_sender);
    assert_eq!(far_receiver.recv().await.unwrap(), Some(config_ask(1)));
    for n in 0..100 {
        far_sender.send(config_ask(n)).await.unwrap();
        tokio::select! {
            biased;
            end = far_receiver.recv() => panic!("the peer received {end:?}"),
            frame = near_receiver.recv() => assert_eq!(frame.unwrap(), Some(config_ask(n))),
        }
    }
    drop(near_receiver);
    assert_eq!(far_receiver.recv().await.unwrap(), None);
    assert!(far_sender.is_closed());
}

#[tokio::test]
async fn close_ends_waiting_receivers_on_both_ends() {
    let (near, far) = link_pair().await;
    let (near_sender, mut near_receiver) = near.split();
    let (_far_sender, mut far_receiver) = far.split();
    near_sender.close();
    near_sender.closed().await;
    assert_eq!(near_receiver.recv().await.unwrap(), None);
    drop(near_receiver);
    assert_eq!(far_receiver.recv().await.unwrap(), None);
}

#[tokio::test]
async fn flushed_frames_arrive_although_the_link_is_closed() {
    let (sender, receiver, mut peer) = link_to_raw_peer().await;
    for n in 0..100 {
        sender.send(config_ask(n)).await.unwrap();
    }
    sender.flushed().await;
    sender.close();
    drop(receiver);
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes).await.unwrap();
    let expected: usize = (0..100).map(|n| config_ask(n).encoded_len() + 4).sum();
    assert_eq!(bytes.len(), expected);
}

#[tokio::test]
async fn the_handshake_tells_each_end_who_the_other_is() {
    let (near, far) = link_pair().await;
    let (near, far) = tokio::join!(
        near.handshake(hello("near", 0)),
        far.handshake(hello("far", 0))
    );
    assert_eq!(near.unwrap().hello.id, "far");
    assert_eq!(far.unwrap().hello.id, "near");
}

// A client connects and sends nothing, or sends another frame before its `Hello`. It
// must not hold the connection forever or be accepted as a peer.
#[tokio::test]
async fn a_peer_without_a_handshake_is_rejected() {
    for first in [None, Some(config_ask(1))] {
        let (near, far) = link_pair().await;
        let (sender, _receiver) = near.split();
        if let Some(frame) = first {
            sender.send(frame).await.unwrap();
        }
        tokio::time::pause();
        let handshake =
            tokio::time::timeout(HOUR, far.handshake(hello("far", 0))).await;
        let error = handshake
            .expect("the handshake has no timeout")
            .expect_err("no Hello");
        assert_eq!(error.code(), ErrorCode::BadFrame);
        tokio::time::resume();
    }
}

/// Guards against clients that make a process hold a frame of the largest size each,
/// before they have said who they are.
#[tokio::test]
async fn a_large_frame_before_the_handshake_is_rejected() {
    let (near, far) = link_pair().await;
    let (sender, _receiver) = near.split();
    let large = hello(&"x".repeat(FRAME_MAX_BYTES as usize / 2), 0);
    sender.send(large).await.unwrap();
    let error = far.handshake(hello("far", 0)).await;
    let error = error.expect_err("the frame is too large");
    assert!(matches!(error, WireError::FrameTooLarge { .. }), "{error}");
}

#[tokio::test]
async fn unusable_addresses_give_error_codes() {
    // No other test listens on this loopback address, so the port stays free after
    // the listener is dropped.
    let taken = TcpListener::bind("127.0.0.18:0").await.unwrap();
    let address = taken.local_addr().unwrap();
    let bound = Listener::bind(address, FRAME_MAX_BYTES).await;
    assert_eq!(
        bound.expect_err("the address is in use").code(),
        ErrorCode::BadAddress
    );
    drop(taken);
    let connected = connect(address, FRAME_MAX_BYTES).await;
    assert_eq!(
        connected.expect_err("no process listens").code(),
        ErrorCode::Unreachable
    );
}
