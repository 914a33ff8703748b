//! Writing heads and chunks.

use bytes::{BufMut, BytesMut};

/// Whether a header field concerns one connection only or is set anew for each message.
pub fn is_hop_by_hop(name: &[u8]) -> bool {
    const HOP_BY_HOP: [&str; 11] = [
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
}

/// Appends a header field.
pub fn field(output: &mut BytesMut, name: &[u8], value: &[u8]) {
    output.put_slice(name);
    output.put_slice(b": ");
    output.put_slice(value);
    output.put_slice(b"\r\n");
}

/// Appends the decimal digits of `number`.
pub fn number(output: &mut BytesMut, mut number: u64) {
    let mut digits = [0; 20];
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            break;
        }
    }
    output.put_slice(&digits[at..]);
}

/// Appends a header field with a number.
pub fn number_field(output: &mut BytesMut, name: &str, value: u64) {
    output.put_slice(name.as_bytes());
    output.put_slice(b": ");
    number(output, value);
    output.put_slice(b"\r\n");
}

/// Appends a chunk; an empty one is skipped, as it would end the body.
pub fn chunk(output: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    output.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    output.put_slice(data);
    output.put_slice(b"\r\n");
}

/// The chunk that ends a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The reason phrase of a status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Appends a status line.
pub fn status_line(output: &mut BytesMut, status: u16) {
    output.put_slice(b"HTTP/1.1 ");
    number(output, u64::from(status));
    output.put_slice(b" ");
    output.put_slice(reason_phrase(status).as_bytes());
    output.put_slice(b"\r\n");
}
