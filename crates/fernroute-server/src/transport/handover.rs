//! The Unix socket between the old and the new process of a balancer. Messages are lines in both directions; one of them
//! carries the listening socket.

use crate::protocol::handover::{decode, encode, MAX_LINE_BYTES};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::RefCell;
use std::fs::DirBuilder;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::{DirBuilderExt as _, FileTypeExt as _, MetadataExt as _};
use std::path::{Path, PathBuf};
use tokio::io::{AsyncWriteExt as _, Interest};
use tokio::net::{UnixListener, UnixStream};

/// Limit for the path of a Unix socket, in bytes.
const MAX_PATH_BYTES: usize = 107;

/// The path of the handover socket. It depends on the balancer's name and its configured listen address.
pub fn socket_path(name: &str, listen: SocketAddr) -> Result<PathBuf, String> {
    let directory = match std::env::var_os("TMPDIR").filter(|t| !t.is_empty()) {
        Some(directory) => PathBuf::from(directory),
        None => private_directory(Path::new("/tmp"))?,
    };
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || ".-".contains(c) { c } else { '_' };
    let file_name: String = format!("fernroute-{name}-{listen}.sock").chars().map(sanitize).collect();
    let path = directory.join(file_name);
    if path.as_os_str().len() > MAX_PATH_BYTES {
        return Err(format!("{} is too long a path", path.display()));
    }
    Ok(path)
}

/// The directory of the handover socket without `$TMPDIR`, as in most shells: one that only this user can access. Guards
/// against another user's process that waits there for the listening socket, or that hands over a socket of its own.
fn private_directory(parent: &Path) -> Result<PathBuf, String> {
    let user = rustix::process::getuid().as_raw();
    let directory = parent.join(format!("fernroute-{user}"));
    let describe = |error: io::Error| format!("{}: {error}", directory.display());
    match DirBuilder::new().mode(0o700).create(&directory) {
        Err(error) if error.kind() != ErrorKind::AlreadyExists => return Err(describe(error)),
        _ => {}
    }
    let found = std::fs::symlink_metadata(&directory).map_err(describe)?;
    if !found.is_dir() || found.uid() != user || found.mode() & 0o077 != 0 {
        return Err(format!("{} is not accessible to this user alone", directory.display()));
    }
    Ok(directory)
}

/// One end of the connection between the two processes.
pub struct HandoverConnection {
    stream: UnixStream,
    received: RefCell<Vec<u8>>,
}

impl HandoverConnection {
    fn new(stream: UnixStream) -> Self {
        HandoverConnection { stream, received: RefCell::default() }
    }

    /// Connects to the process that listens at the path; `None` if there is no such file.
    pub async fn connect(path: &Path) -> io::Result<Option<Self>> {
        // Checked before connecting: where Unix sockets are not permitted, a missing file still means that nobody listens.
        match std::fs::symlink_metadata(path) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            // A killed process leaves a socket. Any other file may be what keeps the serving process from listening here.
            Ok(found) if !found.file_type().is_socket() => {
                return Err(io::Error::new(ErrorKind::AlreadyExists, "the file exists and is not a socket"));
            }
            _ => {}
        }
        Ok(Some(HandoverConnection::new(UnixStream::connect(path).await?)))
    }

    pub async fn send(&mut self, message: &impl Serialize) -> io::Result<()> {
        self.stream.write_all(&encode(message)).await
    }

    /// Sends a message; the socket goes with its first byte.
    pub async fn send_with_socket(&mut self, message: &impl Serialize, socket: impl AsFd) -> io::Result<()> {
        let line = encode(message);
        let sockets = [socket.as_fd()];
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            ancillary.push(SendAncillaryMessage::ScmRights(&sockets));
            Ok(sendmsg(&self.stream, &[IoSlice::new(&line)], &mut ancillary, SendFlags::NOSIGNAL)?)
        };
        let sent = self.stream.async_io(Interest::WRITABLE, send).await?;
        self.stream.write_all(&line[sent..]).await
    }

    /// The next message, with the socket that came with it, if any; `None` at the end of the connection. If the future is
    /// dropped, the part of a line received so far is kept for the next call.
    pub async fn receive<M: DeserializeOwned>(&self) -> io::Result<Option<(M, Option<OwnedFd>)>> {
        let mut socket = None;
        loop {
            let end = self.received.borrow().iter().position(|b| *b == b'\n');
            if let Some(end) = end {
                let line: Vec<u8> = self.received.borrow_mut().drain(..=end).collect();
                return match decode(&line) {
                    Ok(message) => Ok(Some((message, socket))),
                    Err(error) => Err(io::Error::new(ErrorKind::InvalidData, error)),
                };
            }
            if self.received.borrow().len() > MAX_LINE_BYTES {
                return Err(io::Error::new(ErrorKind::InvalidData, "message line exceeds the limit"));
            }
            let mut buffer = [0; 4096];
            let receive = || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut ancillary = RecvAncillaryBuffer::new(&mut space);
                let message = recvmsg(
                    &self.stream,
                    &mut [IoSliceMut::new(&mut buffer)],
                    &mut ancillary,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                for message in ancillary.drain() {
                    if let RecvAncillaryMessage::ScmRights(sockets) = message {
                        socket = sockets.last().or(socket.take());
                    }
                }
                Ok(message.bytes)
            };
            match self.stream.async_io(Interest::READABLE, receive).await? {
                0 => return Ok(None),
                n => self.received.borrow_mut().extend_from_slice(&buffer[..n]),
            }
        }
    }
}

/// Accepts connections from successors. The file is removed when it is dropped.
pub struct HandoverListener {
    listener: UnixListener,
    path: PathBuf,
}

impl HandoverListener {
    /// Listens at the path, if no other process does. A file at which nobody listens was left by a killed process and is
    /// replaced; one at which a process listens is never removed.
    pub async fn open(path: &Path) -> io::Result<Self> {
        let listener = match UnixListener::bind(path) {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                let is_socket = std::fs::symlink_metadata(path)?.file_type().is_socket();
                match UnixStream::connect(path).await {
                    Err(refused) if is_socket && refused.kind() == ErrorKind::ConnectionRefused => {
                        std::fs::remove_file(path)?
                    }
                    _ => return Err(error),
                }
                UnixListener::bind(path)?
            }
            other => other?,
        };
        Ok(HandoverListener { listener, path: path.to_owned() })
    }

    pub async fn accept(&self) -> io::Result<HandoverConnection> {
        Ok(HandoverConnection::new(self.listener.accept().await?.0))
    }
}

impl Drop for HandoverListener {
    fn drop(&mut self) {
        // A failure is harmless: the next process to listen finds the file stale.
        let _ = std::fs::remove_file(&self.path);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::fs::{symlink, PermissionsExt as _};

    /// Guards against handing the listening socket to another user who created the directory first.
    #[test]
    fn only_a_directory_private_to_this_user_is_used() {
        let parent = std::env::temp_dir().join(format!("fernroute-own-{}", std::process::id()));
        std::fs::create_dir_all(&parent).expect("create parent directory");
        let directory = private_directory(&parent).expect("create private directory");
        assert_eq!(private_directory(&parent), Ok(directory.clone()));
        std::fs::set_permissions(&directory, std::fs::Permissions::from_mode(0o755)).expect("set its mode");
        assert!(private_directory(&parent).is_err_and(|error| error.contains("alone")));
        std::fs::remove_dir(&directory).expect("remove the directory");
        symlink("/", &directory).expect("create a symlink");
        assert!(private_directory(&parent).is_err_and(|error| error.contains("alone")));
        std::fs::remove_file(&directory).expect("remove the symlink");
        std::fs::write(&directory, "not a directory").expect("create a file");
        assert!(private_directory(&parent).is_err());
        std::fs::remove_dir_all(&parent).expect("remove parent directory");
        assert!(private_directory(&parent).is_err());
    }
}
