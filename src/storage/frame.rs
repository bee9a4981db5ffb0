//! Framing of file content: a payload with magic number, length and checksum.

/// First bytes of every frame.
const MAGIC: u32 = 0xfe5c_0bae;
/// Size of the frame header: magic number, length and checksum, each 4 bytes.
pub const HEADER_BYTES: usize = 12;

/// Result of reading a frame at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRead<'a> {
    /// A complete frame with a valid checksum.
    Frame {
        /// Payload of the frame.
        payload: &'a [u8],
        /// Offset of the next frame.
        end: usize,
    },
    /// The end of the file.
    End,
    /// An incomplete or damaged frame.
    Bad,
}

/// Appends a frame with `payload` to `out`.
pub fn write(payload: &[u8], out: &mut Vec<u8>) {
    let length = payload.len() as u32;
    out.extend_from_slice(&MAGIC.to_le_bytes());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&checksum(length, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// Reads the frame at `offset`.
pub fn read(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = &bytes[offset.min(bytes.len())..];
    if rest.is_empty() {
        return FrameRead::End;
    }
    match complete_frame(rest) {
        Some(payload) => FrameRead::Frame { payload, end: offset + HEADER_BYTES + payload.len() },
        None => FrameRead::Bad,
    }
}

/// Whether a complete frame begins anywhere after `offset`.
pub fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    let magic = MAGIC.to_le_bytes();
    let starts = offset + 1..bytes.len();
    starts
        .into_iter()
        .any(|at| bytes[at..].starts_with(&magic) && complete_frame(&bytes[at..]).is_some())
}

fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn complete_frame(rest: &[u8]) -> Option<&[u8]> {
    let (header, rest) = rest.split_at_checked(HEADER_BYTES)?;
    let number = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|byte| header[at + byte]));
    let payload = rest.get(..number(4) as usize)?;
    (number(0) == MAGIC && number(8) == checksum(number(4), payload)).then_some(payload)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn any_flipped_bit_is_detected() {
        let mut bytes = Vec::new();
        write(b"entry", &mut bytes);
        write(b"next", &mut bytes);
        let first = HEADER_BYTES + 5;
        for bit in 0..first * 8 {
            let mut damaged = bytes.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(read(&damaged, 0), FrameRead::Bad, "bit {bit}");
            assert!(has_frame_after(&damaged, 0), "bit {bit}");
        }
        assert_eq!(read(&bytes, 0), FrameRead::Frame { payload: b"entry", end: first });
        assert!(!has_frame_after(&bytes, first));
    }
}
