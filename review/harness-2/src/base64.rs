//! Base64 with padding, as values of rows are encoded.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(char::from(
                    ALPHABET[(bits >> (18 - 6 * index)) as usize & 63],
                )),
                false => text.push('='),
            }
        }
    }
    text
}
