//! Buffers of callers' connections in the kernel.

use inbound::{Budget, Machine, bind};
use socket2::SockRef;
use tokio::net::TcpStream;

/// Guards against connections whose buffers grow by the kernel's own rules: thousands that
/// aren't read then hold more than the machine has.
#[tokio::test]
async fn connections_inherit_small_buffers() {
    let budget = Budget::of(Machine {
        memory_bytes: 120_000_000,
        descriptors: 3_075,
    });
    let any = "127.0.0.1:0".parse().expect("a literal address");
    let listener = bind(any, &budget).expect("loopback can be bound");
    let address = listener.local_addr().expect("it is bound");
    let _caller = TcpStream::connect(address).await.expect("it listens");
    let (accepted, _) = listener.accept().await.expect("a connection");
    let socket = SockRef::from(&accepted);
    // The kernel doubles what it is asked for.
    let received = socket.recv_buffer_size().expect("a size");
    assert!(received <= 2 * budget.receive_buffer_bytes, "{received}");
    let sent = socket.send_buffer_size().expect("a size");
    assert!(sent <= 2 * budget.send_buffer_bytes, "{sent}");
}
