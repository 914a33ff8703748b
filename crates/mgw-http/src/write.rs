//! Writing of status lines, header fields and chunks.

use bytes::{BufMut, BytesMut};

/// Returns true if a header field must not be forwarded, because it applies to one connection only
/// or is written anew for each message.
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

/// Appends a header field line.
pub fn field(output: &mut BytesMut, name: &[u8], value: &[u8]) {
    output.put_slice(name);
    output.put_slice(b": ");
    output.put_slice(value);
    output.put_slice(b"\r\n");
}

/// Appends the decimal digits of `number`.
pub fn number(output: &mut BytesMut, mut number: u64) {
    let mut digits = [0; 20];
    let mut start = digits.len();
    loop {
        start -= 1;
        digits[start] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            break;
        }
    }
    output.put_slice(&digits[start..]);
}

/// Appends a header field line with a decimal value.
pub fn number_field(output: &mut BytesMut, name: &str, value: u64) {
    output.put_slice(name.as_bytes());
    output.put_slice(b": ");
    number(output, value);
    output.put_slice(b"\r\n");
}

/// Appends a chunk. Empty data is skipped, because a chunk of size 0 ends the body.
pub fn chunk(output: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    output.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    output.put_slice(data);
    output.put_slice(b"\r\n");
}

/// The chunk of size 0 and the empty trailer section that end a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Returns the reason phrase of a status code, or `Status` for codes not listed here.
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

/// Appends an HTTP/1.1 status line.
pub fn status_line(output: &mut BytesMut, status: u16) {
    output.put_slice(b"HTTP/1.1 ");
    number(output, u64::from(status));
    output.put_slice(b" ");
    output.put_slice(reason_phrase(status).as_bytes());
    output.put_slice(b"\r\n");
}
