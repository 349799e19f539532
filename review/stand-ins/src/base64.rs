//! Standard base64 with padding.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) & 63;
            match place <= chunk.len() {
                true => text.push(char::from(ALPHABET[index as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn decode(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    for chunk in text.as_bytes().chunks(4) {
        let mut bits = 0u32;
        let mut digits = 0;
        for place in 0..4 {
            let digit = match chunk.get(place) {
                Some(b'=') | None => 0,
                Some(byte) => {
                    digits += 1;
                    ALPHABET.iter().position(|known| known == byte)? as u32
                }
            };
            bits = (bits << 6) | digit;
        }
        let group = bits.to_be_bytes();
        bytes.extend_from_slice(&group[1..(digits * 6 / 8 + 1)]);
    }
    Some(bytes)
}
