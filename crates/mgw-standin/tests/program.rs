//! Tests of the program `marigoldwall-standin`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Kills the child process when dropped, so that a failed test leaves none running.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the program and returns the process and the listen address that it prints.
fn start(arguments: &[&str]) -> (Process, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldwall-standin"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("spawn");
    let stdout = child.stdout.take().expect("stdout");
    let process = Process(child);
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).expect("line");
    let address = line.trim_end().strip_prefix("listening ").expect("address").to_owned();
    (process, address)
}

/// Sends a request on a new connection and returns the raw response.
fn exchange(address: &str, method: &str, path: &str, body: &str) -> String {
    let mut socket = TcpStream::connect(address).expect("connect");
    socket.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n"
    );
    socket.write_all((head + body).as_bytes()).expect("write");
    let mut answer = String::new();
    socket.read_to_string(&mut answer).expect("answer");
    answer
}

/// Guards against a subcommand that fails to start, ignores a flag or starts the wrong stand-in.
#[test]
fn every_stand_in_starts() {
    let instance = r#"{"name":"s1","kind":"server","address":"127.0.0.1:1","zone":"z","domain":"d",
        "status":"live","boot":"b"}"#;
    let cases: [(&[&str], &str, &str); 5] = [
        (&["log", "--rate", "5", "--latency-ms", "1"], "/log/control/records", "x-log-next: 0"),
        (&["weights", "--limit", "3"], "/weights", r#""limit":3"#),
        (&["list", "--instance", instance], "/instances", r#""name":"s1""#),
        (&["engine", "--boot", "b7", "--no-fencing"], "/status", r#""boot":"b7""#),
        (&["service", "--instance", "s7"], "/status", r#""instance":"s7""#),
    ];
    for (arguments, path, expected) in cases {
        let (_process, address) = start(arguments);
        let answer = exchange(&address, "GET", path, "");
        assert!(answer.contains(expected), "{arguments:?}: {answer}");
    }
}

/// Guards against a `crash` fault that leaves the process running.
#[test]
fn a_crash_ends_the_process() {
    let (mut process, address) = start(&["engine"]);
    let answer = exchange(&address, "POST", "/fault", r#"{"fault":"crash"}"#);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(process.0.wait().expect("exit").code(), Some(3));
}

/// Guards against a stand-in that listens on an address that other machines can reach.
#[test]
fn only_loopback_addresses_are_served() {
    let output = Command::new(env!("CARGO_BIN_EXE_marigoldwall-standin"))
        .args(["log", "--address", "0.0.0.0:0"])
        .output()
        .expect("run");
    assert!(!output.status.success());
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("not a loopback address"), "{message}");
}
