//! Links between two ends on loopback.

use base::ErrorCode;
use prost::Message;
use schema::link::{ConfigAsk, Frame, Hello, frame};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::{Link, LinkReceiver, LinkSender, Listener, WireError, connect};

const FRAME_MAX_BYTES: u32 = 4_096;

/// After it a test that waits for what never comes fails.
const PATIENCE: Duration = Duration::from_secs(60);

/// Longer than any timeout; passes at once on a paused clock.
const HOUR: Duration = Duration::from_secs(3_600);

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a literal address")
}

fn ask(after_revision: u64) -> Frame {
    Frame {
        clock_us: 1,
        revision: 2,
        body: Some(frame::Body::ConfigAsk(ConfigAsk { after_revision })),
    }
}

fn hello(id: &str, bytes: usize) -> Frame {
    Frame {
        body: Some(frame::Body::Hello(Hello {
            id: id.to_owned(),
            failure_domain: "x".repeat(bytes),
            ..Hello::default()
        })),
        ..Frame::default()
    }
}

async fn pair() -> (Link, Link) {
    let listener = Listener::bind(loopback(), FRAME_MAX_BYTES).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) =
        tokio::join!(connect(address, FRAME_MAX_BYTES), listener.accept());
    (near.unwrap(), far.unwrap())
}

/// One end of a link, and the bare socket of the other.
async fn with_raw_peer() -> (LinkSender, LinkReceiver, TcpStream) {
    let listener = Listener::bind(loopback(), FRAME_MAX_BYTES).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (raw, link) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (sender, receiver) = link.unwrap().split();
    (sender, receiver, raw.unwrap())
}

#[tokio::test]
async fn frames_arrive_whole_and_in_order_both_ways() {
    let (near, far) = pair().await;
    let (near_sender, mut near_receiver) = near.split();
    let (far_sender, mut far_receiver) = far.split();
    let send = async {
        for n in 0..3_000 {
            near_sender.send(ask(n)).await.unwrap();
        }
        far_sender.send(hello("far", 100)).await.unwrap();
    };
    let receive = async {
        for n in 0..3_000 {
            assert_eq!(far_receiver.recv().await.unwrap(), Some(ask(n)));
        }
        assert_eq!(near_receiver.recv().await.unwrap(), Some(hello("far", 100)));
    };
    tokio::join!(send, receive);
}

/// One way in which a far end breaks the protocol.
struct Fault {
    name: &'static str,
    bytes: Vec<u8>,
    code: ErrorCode,
}

fn framed(length: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

// A far end sends what is not a frame and then goes on with a good one.
// The receiver must report a numbered fault and end the link for its senders
// too, and must not take the good frame: behind a bad one, nothing shows where
// the next begins.
#[tokio::test]
async fn bad_frames_end_the_link_with_a_code() {
    let good = ask(1).encode_to_vec();
    let faults = [
        Fault {
            name: "length over the bound",
            bytes: framed(FRAME_MAX_BYTES + 1, &[]),
            code: ErrorCode::BadFrame,
        },
        Fault {
            name: "length of four gigabytes",
            bytes: framed(u32::MAX, &[]),
            code: ErrorCode::BadFrame,
        },
        Fault {
            name: "not a message",
            bytes: framed(4, &[0xff; 4]),
            code: ErrorCode::BadFrame,
        },
        Fault {
            name: "field longer than its message",
            bytes: framed(3, &[0x1a, 0x7f, 0x00]),
            code: ErrorCode::BadFrame,
        },
        Fault {
            name: "end within a frame",
            bytes: framed(100, &[0x08]),
            code: ErrorCode::Unreachable,
        },
    ];
    for fault in faults {
        let (sender, mut receiver, mut raw) = with_raw_peer().await;
        raw.write_all(&fault.bytes).await.unwrap();
        if fault.code == ErrorCode::BadFrame {
            let next = framed(u32::try_from(good.len()).unwrap(), &good);
            raw.write_all(&next).await.unwrap();
        } else {
            raw.shutdown().await.unwrap();
        }
        let seen = tokio::time::timeout(PATIENCE, receiver.recv()).await;
        let seen = seen.expect(fault.name).expect_err(fault.name);
        assert_eq!(seen.code(), fault.code, "{}: {seen}", fault.name);
        assert!(sender.is_closed(), "{}", fault.name);
        assert!(sender.send(ask(1)).await.is_err(), "{}", fault.name);
        assert_eq!(receiver.recv().await.unwrap(), None, "{}", fault.name);
    }
}

#[tokio::test]
async fn too_large_a_frame_is_refused_before_it_is_queued() {
    let (near, far) = pair().await;
    let (sender, _receiver) = near.split();
    let (_, mut far_receiver) = far.split();
    let large = hello("near", FRAME_MAX_BYTES as usize);
    let seen = sender.send(large).await.expect_err("over the bound");
    assert_eq!(seen.code(), ErrorCode::BadFrame);
    sender.send(ask(7)).await.unwrap();
    assert_eq!(far_receiver.recv().await.unwrap(), Some(ask(7)));
}

// The far end's process is frozen: its socket is open and takes nothing.
// A sender that doesn't wait is told that the queue is full, after a bounded
// number of frames; one that waits is released when the write times out, and
// the link has then ended.
#[tokio::test]
async fn a_frozen_far_end_holds_neither_memory_nor_senders() {
    const FRAMES_MAX: usize = 10_000;
    for bytes in [0, 4_000] {
        let (sender, _receiver, _raw) = with_raw_peer().await;
        let sent = (0..FRAMES_MAX).map(|_| sender.try_send(hello("near", bytes)));
        let full = sent.filter_map(Result::err).next();
        assert!(
            matches!(full, Some(WireError::QueueFull)),
            "{bytes}: {full:?}"
        );
    }
    let (sender, _receiver, _raw) = with_raw_peer().await;
    tokio::time::pause();
    let waiting = async {
        loop {
            if let Err(fault) = sender.send(hello("near", 4_000)).await {
                break fault;
            }
        }
    };
    let released = tokio::time::timeout(HOUR, waiting).await;
    let fault = released.expect("a sender waits for ever");
    assert!(matches!(fault, WireError::Closed), "{fault}");
    assert!(sender.is_closed());
}

// The far end reads slowly, and answers fill their share of the queue.
// What waits for room waits; small frames that can't wait still go out, or a
// slow reader would be taken for a dead link.
#[tokio::test]
async fn waiting_answers_leave_room_for_small_frames() {
    let (sender, _receiver, _raw) = with_raw_peer().await;
    let mut kept = Vec::new();
    let waits = loop {
        tokio::select! {
            biased;
            room = sender.reserve(4_000) => kept.push(room.unwrap()),
            () = std::future::ready(()) => break true,
        }
        assert!(kept.len() < 10_000, "answers have no bound");
    };
    assert!(waits);
    for room in kept {
        room.send(&hello("near", 4_000)).unwrap();
    }
    for n in 0..300 {
        sender.try_send(ask(n)).unwrap();
    }
    let oversized = sender.clone();
    sender.close();
    assert!(oversized.reserve(1).await.is_err());
}

// An end that has nothing to say drops its senders and goes on listening.
// Only when it drops the receiver too does the far end see the link close.
#[tokio::test]
async fn the_link_closes_when_both_halves_are_gone() {
    let (near, far) = pair().await;
    let (near_sender, mut near_receiver) = near.split();
    let (far_sender, mut far_receiver) = far.split();
    near_sender.send(ask(1)).await.unwrap();
    drop(near_sender);
    assert_eq!(far_receiver.recv().await.unwrap(), Some(ask(1)));
    for n in 0..100 {
        far_sender.send(ask(n)).await.unwrap();
        tokio::select! {
            biased;
            end = far_receiver.recv() => panic!("the far end heard {end:?}"),
            frame = near_receiver.recv() => assert_eq!(frame.unwrap(), Some(ask(n))),
        }
    }
    drop(near_receiver);
    assert_eq!(far_receiver.recv().await.unwrap(), None);
    assert!(far_sender.is_closed());
}

#[tokio::test]
async fn closing_ends_both_ends_and_waiting_receivers() {
    let (near, far) = pair().await;
    let (near_sender, mut near_receiver) = near.split();
    let (_far_sender, mut far_receiver) = far.split();
    near_sender.close();
    near_sender.closed().await;
    assert_eq!(near_receiver.recv().await.unwrap(), None);
    drop(near_receiver);
    assert_eq!(far_receiver.recv().await.unwrap(), None);
}

#[tokio::test]
async fn what_was_flushed_arrives_though_the_link_is_closed() {
    let (sender, receiver, mut raw) = with_raw_peer().await;
    for n in 0..100 {
        sender.send(ask(n)).await.unwrap();
    }
    sender.flushed().await;
    sender.close();
    drop(receiver);
    let mut bytes = Vec::new();
    raw.read_to_end(&mut bytes).await.unwrap();
    let expected: usize = (0..100).map(|n| ask(n).encoded_len() + 4).sum();
    assert_eq!(bytes.len(), expected);
}

#[tokio::test]
async fn both_ends_learn_who_the_other_is() {
    let (near, far) = pair().await;
    let (near, far) = tokio::join!(
        near.handshake(hello("near", 0)),
        far.handshake(hello("far", 0))
    );
    assert_eq!(near.unwrap().hello.id, "far");
    assert_eq!(far.unwrap().hello.id, "near");
}

// Something connects and either says nothing or speaks before it has said who
// it is. It must not hold a connection for ever, nor be taken for a process.
#[tokio::test]
async fn an_end_without_a_greeting_is_dropped() {
    for first in [None, Some(ask(1))] {
        let (near, far) = pair().await;
        let (sender, _receiver) = near.split();
        if let Some(frame) = first {
            sender.send(frame).await.unwrap();
        }
        tokio::time::pause();
        let greeted = tokio::time::timeout(HOUR, far.handshake(hello("far", 0))).await;
        let seen = greeted.expect("waits for ever").expect_err("no greeting");
        assert_eq!(seen.code(), ErrorCode::BadFrame);
        tokio::time::resume();
    }
}

#[tokio::test]
async fn addresses_that_can_not_be_had_have_codes() {
    // An address of its own: nothing else on the machine takes its port.
    let taken = TcpListener::bind("127.0.0.18:0").await.unwrap();
    let address = taken.local_addr().unwrap();
    let seen = Listener::bind(address, FRAME_MAX_BYTES).await;
    assert_eq!(seen.expect_err("taken").code(), ErrorCode::BadAddress);
    drop(taken);
    let seen = connect(address, FRAME_MAX_BYTES).await;
    assert_eq!(
        seen.expect_err("nobody there").code(),
        ErrorCode::Unreachable
    );
}
