//! Tests of requests whose body is too large.

use std::time::Duration;

use mgw_daemon::http;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Maximum size in bytes of the bodies that the server takes.
const LIMIT: usize = 64 << 10;

/// Guards against a caller that misses the refusal of its request, as the connection is closed while
/// it still sends the body.
#[test]
fn callers_that_still_send_get_the_refusal() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
        let address = listener.local_addr().expect("read the local address");
        let (_stop, stopped) = watch::channel(false);
        actix_rt::spawn(http::serve(
            listener,
            |mut request| async move {
                let status = match http::read_body(&mut request, LIMIT).await {
                    Ok(_) => 200,
                    Err(_) => 413,
                };
                http::json_response(status, &"")
            },
            stopped,
        ));
        let mut caller = TcpStream::connect(address).await.expect("connect to the server");
        let head = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n", 4 * LIMIT);
        caller.write_all(head.as_bytes()).await.expect("send the head");
        for _ in 0..4 {
            caller.write_all(&vec![b'x'; LIMIT]).await.expect("send a part of the body");
            sleep(Duration::from_millis(50)).await;
        }
        let mut response = [0; 12];
        caller.read_exact(&mut response).await.expect("read the response");
        assert_eq!(&response, b"HTTP/1.1 413");
    });
}
