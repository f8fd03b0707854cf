//! The decoder against bytes that no encoder made.

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

/// Most bytes drawn for one case.
const SIZE_BYTES: u64 = 4_096;

/// Runs a property on fixed seeds: the same cases on every run.
fn on_fixed_seeds(mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for case in 0..CASES {
        let size = (case + 1) * SIZE_BYTES / CASES;
        arbtest(&mut property).seed(case << 32 | size).run();
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be had in tests")
}

/// Frames received from a far end that sends `bytes` and closes.
async fn received(bytes: Vec<u8>) -> Vec<Frame> {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("a literal address");
    let listener = Listener::bind(any, FRAME_MAX_BYTES).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (raw, link) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (_sender, mut receiver) = link.unwrap().split();
    let mut raw = raw.unwrap();
    let write = async move {
        // The receiver closes at the first bad frame, which may break this off.
        let _ = raw.write_all(&bytes).await;
        let _ = raw.shutdown().await;
        raw
    };
    let read = async {
        let mut frames = Vec::new();
        while let Ok(Some(frame)) = receiver.recv().await {
            frames.push(frame);
        }
        frames
    };
    let (_raw, frames) = tokio::join!(write, read);
    frames
}

#[test]
fn any_bytes_end_the_link_without_a_panic() {
    let runtime = runtime();
    on_fixed_seeds(|u| {
        let mut bytes = Vec::new();
        while !u.is_empty() {
            let drawn = u.arbitrary_len::<u8>()?.min(64);
            let body = u.bytes(drawn)?;
            let length = u32::try_from(body.len()).expect("at most 64");
            let told = if u.ratio(1, 8)? {
                u.arbitrary()?
            } else {
                length
            };
            bytes.extend_from_slice(&told.to_be_bytes());
            bytes.extend_from_slice(body);
        }
        runtime.block_on(received(bytes));
        Ok(())
    });
}

// A good frame, changed in one byte, may decode to something else or not at
// all; the frame before it must have arrived whole.
#[test]
fn a_changed_byte_harms_no_earlier_frame() {
    let runtime = runtime();
    on_fixed_seeds(|u| {
        let frame = Frame {
            clock_us: u.arbitrary()?,
            revision: u.arbitrary()?,
            body: Some(frame::Body::Hello(Hello {
                id: u.arbitrary::<&str>()?.chars().take(100).collect(),
                incarnation: u.arbitrary()?,
                ..Hello::default()
            })),
        };
        let mut one = Vec::new();
        let body = frame.encode_to_vec();
        let length = u32::try_from(body.len()).expect("far below the bound");
        one.extend_from_slice(&length.to_be_bytes());
        one.extend_from_slice(&body);
        let mut changed = one.clone();
        let at = u.choose_index(changed.len())?;
        changed[at] ^= u.int_in_range(1..=u8::MAX)?;
        let frames = runtime.block_on(received([one, changed].concat()));
        assert_eq!(frames.first(), Some(&frame));
        Ok(())
    });
}
