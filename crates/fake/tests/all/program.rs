//! Tests of the programs' output and shutdown, and of the shutdown in a process.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};

#[test]
fn programs_print_their_addresses_and_exit_on_sigterm() {
    let programs = [
        env!("CARGO_BIN_EXE_fake-platform"),
        env!("CARGO_BIN_EXE_fake-engine"),
        env!("CARGO_BIN_EXE_fake-store"),
        env!("CARGO_BIN_EXE_fake-service"),
    ];
    for program in programs {
        let mut child = Command::new(program)
            .args(["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program was built");
        let out = child.stdout.take().expect("standard output is piped");
        let mut lines = BufReader::new(out).lines();
        for word in ["listening ", "control "] {
            let line = lines.next().expect("a line").expect("a line of UTF-8");
            let address = line
                .strip_prefix(word)
                .expect("the line starts with the expected word");
            let address: SocketAddr = address.parse().expect("an address");
            TcpStream::connect(address).expect("the address accepts connections");
        }
        let pid = i32::try_from(child.id()).expect("a process id");
        kill(Pid::from_raw(pid), Signal::SIGTERM).expect("the child is running");
        let status = child.wait().expect("the child exits");
        assert!(status.success(), "{program}: {status}");
    }
}

#[tokio::test]
async fn dropping_a_handle_closes_listeners_and_connections() {
    let platform = fake::platform::start(fake::platform::PlatformOptions::default());
    let platform = platform.await.expect("loopback has a free port");
    let (address, control) = (platform.address, platform.control);
    let watch = crate::client::get(address, "/watch?prefix=&after=0&wait_ms=60000");
    let ends = async {
        crate::client::wait_until(|| platform.counts().watches == 1).await;
        drop(platform);
    };
    let (watch, ()) = tokio::join!(watch, ends);
    assert!(watch.is_none());
    for address in [address, control] {
        crate::client::wait_until(|| TcpStream::connect(address).is_err()).await;
    }
}
