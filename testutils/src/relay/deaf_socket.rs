//! Sockets whose connection went silent, as seen from the other end.

use socket2::SockFilter;
use socket2::SockRef;
use tokio::net::TcpStream;

/// Operation code of a filter that returns a constant number of bytes to keep.
const RETURN_CONSTANT: u16 = 0x06;

/// Drops everything that arrives for `stream` before the kernel acknowledges it.
pub fn deafen(stream: &TcpStream) {
    let keep_nothing = SockFilter::new(RETURN_CONSTANT, 0, 0, 0);
    let attached = SockRef::from(stream).attach_filter(&[keep_nothing]);
    attached.expect("a filter can be attached");
}
