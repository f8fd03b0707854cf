//! Property tests: decoding of arbitrary and corrupted bytes.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use prost::Message;
use schema::link::{Frame, Hello, frame};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use wire::Listener;

const FRAME_MAX_BYTES: u32 = 1_024;
const CASES: u64 = 300;

/// Maximum size of the input of one case, in bytes.
const CASE_MAX_BYTES: u64 = 4_096;

/// Checks a property on fixed seeds, so that every run checks the same cases.
fn check_on_fixed_seeds(mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for case in 0..CASES {
        let size = (case + 1) * CASE_MAX_BYTES / CASES;
        arbtest(&mut property).seed(case << 32 | size).run();
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts")
}

/// Returns the frames received from a peer that sends `bytes` and closes.
async fn receive_all(bytes: Vec<u8>) -> Vec<Frame> {
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("a literal address");
    let listener = Listener::bind(any_port, FRAME_MAX_BYTES).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (peer, link) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (_sender, mut receiver) = link.unwrap().split();
    let mut peer = peer.unwrap();
    let write = async move {
        // The receiver closes the link at the first bad frame, so the write may fail.
        let _ = peer.write_all(&bytes).await;
        let _ = peer.shutdown().await;
        peer
    };
    let read = async {
        let mut frames = Vec::new();
        while let Ok(Some(frame)) = receiver.recv().await {
            frames.push(frame);
        }
        frames
    };
    let (_peer, frames) = tokio::join!(write, read);
    frames
}

#[test]
fn arbitrary_bytes_close_the_link_without_a_panic() {
    let runtime = runtime();
    check_on_fixed_seeds(|u| {
        let mut bytes = Vec::new();
        while !u.is_empty() {
            let body_bytes = u.arbitrary_len::<u8>()?.min(64);
            let body = u.bytes(body_bytes)?;
            let length = u32::try_from(body.len()).expect("at most 64");
            let length_prefix = if u.ratio(1, 8)? {
                u.arbitrary()?
            } else {
                length
            };
            bytes.extend_from_slice(&length_prefix.to_be_bytes());
            bytes.extend_from_slice(body);
        }
        runtime.block_on(receive_all(bytes));
        Ok(())
    });
}

// A frame with one corrupted byte may decode to another frame or not at all. The
// frame before it must still arrive intact.
#[test]
fn a_corrupted_byte_does_not_affect_earlier_frames() {
    let runtime = runtime();
    check_on_fixed_seeds(|u| {
        let frame = Frame {
            clock_us: u.arbitrary()?,
            revision: u.arbitrary()?,
            body: Some(frame::Body::Hello(Hello {
                id: u.arbitrary::<&str>()?.chars().take(100).collect(),
                incarnation: u.arbitrary()?,
                ..Hello::default()
            })),
        };
        let mut intact = Vec::new();
        let body = frame.encode_to_vec();
        let length = u32::try_from(body.len()).expect("the body is far below 4 GiB");
        intact.extend_from_slice(&length.to_be_bytes());
        intact.extend_from_slice(&body);
        let mut corrupted = intact.clone();
        let at = u.choose_index(corrupted.len())?;
        corrupted[at] ^= u.int_in_range(1..=u8::MAX)?;
        let frames = runtime.block_on(receive_all([intact, corrupted].concat()));
        assert_eq!(frames.first(), Some(&frame));
        Ok(())
    });
}
