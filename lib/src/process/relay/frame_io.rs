//! Reads and writes of frames on the connections between nodes.

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;

/// Size up to which queued frames are joined into one write.
const WRITE_BYTES: usize = 64 * 1_024;
/// Buffer space reserved before each read.
pub(super) const READ_BYTES: usize = 16 * 1_024;

/// Writes queued frames, several in one write, and calls `on_written` with the bytes of each write.
pub(super) async fn write_frames(
    mut writer: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<Bytes>,
    on_written: impl Fn(usize),
) -> std::io::Result<()> {
    while let Some(first) = frames.recv().await {
        match frames.try_recv() {
            Err(_) => {
                writer.write_all(&first).await?;
                on_written(first.len());
            }
            Ok(second) => {
                let mut joined = BytesMut::from(&first[..]);
                joined.extend_from_slice(&second);
                while joined.len() < WRITE_BYTES
                    && let Ok(next) = frames.try_recv()
                {
                    joined.extend_from_slice(&next);
                }
                writer.write_all(&joined).await?;
                on_written(joined.len());
            }
        }
    }
    Ok(())
}
