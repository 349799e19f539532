//! Detection of connections whose other end no longer acknowledges anything.

use std::io;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Idle time after which the kernel probes a connection, and the time between two probes. It is the
/// shortest that the kernel supports.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection fails.
const PROBES_MAX: u32 = 1;
/// Longest time for which sent bytes, or a probe, may stay unacknowledged.
const UNACKNOWLEDGED_MAX_MS: u32 = 800;

/// Makes the kernel fail a connection about one to two seconds after its other end stopped
/// acknowledging, whether or not anything was sent.
///
/// The other end's kernel acknowledges for a process that is slow or stopped, so such a process is
/// not taken for a silent one, unless it leaves so many bytes unread that its receive window closes.
/// Where that is possible, call [`allow_closed_window`] after this.
///
/// # Errors
///
/// Returns the error of the kernel if it refuses an option.
pub fn enable_liveness_probes(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_keepidle(stream, PROBE_PERIOD)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_PERIOD)?;
    sockopt::set_tcp_keepcnt(stream, PROBES_MAX)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MAX_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    Ok(())
}

/// Lets sent bytes stay unacknowledged for as long as the other end reads nothing.
///
/// An idle connection is still probed. One with sent bytes is not, so that its user needs a time
/// limit of its own.
///
/// # Errors
///
/// Returns the error of the kernel if it refuses the option.
pub fn allow_closed_window(stream: &TcpStream) -> io::Result<()> {
    Ok(sockopt::set_tcp_user_timeout(stream, 0)?)
}
