//! The questions for an engine's state.

use crate::support::Pair;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const STATE: &str = "{\"incarnation\": 5}";

/// Longer than an answer is waited for.
const TOO_LATE: Duration = Duration::from_millis(1_500);

/// Starts an agent, whose start waits for answers that the test gives.
fn start(listener: &TcpListener) -> JoinHandle<Pair> {
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { Pair::start("engines", address).await })
}

async fn question(stream: &mut TcpStream) {
    let mut held = Vec::new();
    while !held.ends_with(b"\r\n\r\n") {
        held.push(stream.read_u8().await.unwrap());
    }
    assert!(held.starts_with(b"GET /admin/state "), "{held:?}");
}

async fn answer(stream: &mut TcpStream) {
    let length = STATE.len();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{STATE}");
    stream.write_all(text.as_bytes()).await.unwrap();
}

// An engine that keeps connections is asked on one, again and again: a
// connection for each question would be most of what an idle agent costs.
#[tokio::test]
async fn questions_share_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _agent = start(&listener);
    let (mut stream, _) = listener.accept().await.unwrap();
    for _ in 0..5 {
        question(&mut stream).await;
        answer(&mut stream).await;
    }
}

// An answer comes after its question was given up.
// It must not be taken for the answer to the next question: that is asked on
// another connection, and the old one is closed. The state from before an order
// could otherwise pass for the one after it.
#[tokio::test]
async fn a_late_answer_is_no_answer_to_the_next_question() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _agent = start(&listener);
    let (mut first, _) = listener.accept().await.unwrap();
    question(&mut first).await;
    answer(&mut first).await;
    question(&mut first).await;
    tokio::time::sleep(TOO_LATE).await;
    // Closed, so that no answer can be given on it any more.
    assert_eq!(first.read(&mut [0; 16]).await.unwrap_or(0), 0);
    let (mut second, _) = listener.accept().await.unwrap();
    question(&mut second).await;
    answer(&mut second).await;
    question(&mut second).await;
}
