//! Encoding of the records and datagrams that entries exchange: a version byte, then the value in
//! bincode's standard format.

use bincode::{Decode, Encode};

/// Encodes `value` behind the byte `version`.
///
/// # Errors
///
/// The encoder fails.
pub(crate) fn encode<T>(version: u8, value: &T) -> Result<Vec<u8>, bincode::error::EncodeError>
where
    T: Encode,
{
    let mut bytes = vec![version];
    bytes.extend(bincode::encode_to_vec(value, bincode::config::standard())?);
    Ok(bytes)
}

/// Decodes a value of at most `LIMIT` bytes. Returns `None` if the bytes are malformed, too long or
/// of another version.
pub(crate) fn decode<T, const LIMIT: usize>(version: u8, bytes: &[u8]) -> Option<T>
where
    T: Decode<()>,
{
    let (known, rest) = bytes.split_first()?;
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (value, size) = bincode::decode_from_slice(rest, config).ok()?;
    (*known == version && size == rest.len()).then_some(value)
}
