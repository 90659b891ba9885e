//! Encoding of peer messages: postcard in UDP datagrams with a checksum and in TCP frames.

use {
    crate::peer_message::PeerDatagram,
    crc::{CRC_32_ISCSI, Crc},
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

/// Maximum size of a datagram, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 1400;
/// Maximum size of a frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;

const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Error of sending or receiving a peer message.
#[derive(Debug, Snafu)]
pub enum PeerFault {
    /// The message is truncated, malformed, or from another deployment or version.
    #[snafu(display("not a valid peer message: {detail}"))]
    Foreign {
        /// The error of the decoder.
        detail: String,
    },
    /// The message exceeds the size limit.
    #[snafu(display("a message of {bytes} bytes is too large"))]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Connection {
        /// The error of the connection.
        source: std::io::Error,
    },
}

/// Encodes a datagram with its checksum.
///
/// # Errors
///
/// `TooLarge` if it exceeds [`DATAGRAM_BYTES_MAX`].
pub fn encode_datagram(datagram: &PeerDatagram) -> Result<Vec<u8>, PeerFault> {
    let bytes = postcard::to_allocvec_crc32(datagram, CHECKSUM.digest()).map_err(foreign)?;
    if bytes.len() > DATAGRAM_BYTES_MAX {
        return Err(PeerFault::TooLarge { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a datagram of this deployment.
///
/// # Errors
///
/// `Foreign` if it is truncated, malformed, or from another deployment.
pub fn decode_datagram(bytes: &[u8], cluster: u32) -> Result<PeerDatagram, PeerFault> {
    let datagram: PeerDatagram =
        postcard::from_bytes_crc32(bytes, CHECKSUM.digest()).map_err(foreign)?;
    if datagram.cluster != cluster {
        let detail = format!("cluster is {} instead of {cluster}", datagram.cluster);
        return Err(PeerFault::Foreign { detail });
    }
    Ok(datagram)
}

/// Writes one message as a frame: its length as a big-endian `u32`, then postcard. Returns
/// the number of bytes written.
///
/// # Errors
///
/// `TooLarge` if it exceeds [`FRAME_BYTES_MAX`], `Connection` if the write fails.
pub async fn write_frame<T: Serialize>(
    stream: &mut (impl AsyncWriteExt + Unpin),
    message: &T,
) -> Result<usize, PeerFault> {
    let bytes = postcard::to_allocvec(message).map_err(foreign)?;
    let length = u32::try_from(bytes.len())
        .ok()
        .filter(|_| bytes.len() <= FRAME_BYTES_MAX);
    let Some(length) = length else {
        return Err(PeerFault::TooLarge { bytes: bytes.len() });
    };
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&bytes);
    stream
        .write_all(&frame)
        .await
        .map_err(|source| PeerFault::Connection { source })?;
    stream
        .flush()
        .await
        .map_err(|source| PeerFault::Connection { source })?;
    Ok(frame.len())
}

/// Reads one frame.
///
/// # Errors
///
/// `TooLarge` or `Foreign` for an invalid frame, `Connection` if the read fails.
pub async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Result<T, PeerFault> {
    let length = stream
        .read_u32()
        .await
        .map_err(|source| PeerFault::Connection { source })? as usize;
    if length > FRAME_BYTES_MAX {
        return Err(PeerFault::TooLarge { bytes: length });
    }
    let mut bytes = vec![0; length];
    stream
        .read_exact(&mut bytes)
        .await
        .map_err(|source| PeerFault::Connection { source })?;
    decode_message(&bytes)
}

/// Decodes one message that takes up all of `bytes`.
///
/// # Errors
///
/// `Foreign` if the message is malformed or bytes remain.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerFault> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(foreign)?;
    if rest.is_empty() {
        return Ok(message);
    }
    Err(PeerFault::Foreign {
        detail: format!("{} trailing bytes", rest.len()),
    })
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function to map errors with"
)]
fn foreign(error: postcard::Error) -> PeerFault {
    PeerFault::Foreign {
        detail: error.to_string(),
    }
}
