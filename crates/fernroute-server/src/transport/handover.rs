//! The Unix socket between the old and the new process of a balancer: lines both ways, and the listening socket with
//! one of them.

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

/// The longest path of a socket's file.
const MOST_PATH: usize = 107;

/// Where the processes of one balancer meet: it is told by its name and the address that it was told to serve at.
pub fn socket_path(name: &str, listen: SocketAddr) -> Result<PathBuf, String> {
    let folder = match std::env::var_os("TMPDIR").filter(|t| !t.is_empty()) {
        Some(named) => PathBuf::from(named),
        None => own_folder(Path::new("/tmp"))?,
    };
    let plain = |c: char| if c.is_ascii_alphanumeric() || ".-".contains(c) { c } else { '_' };
    let file: String = format!("fernroute-{name}-{listen}.sock").chars().map(plain).collect();
    let path = folder.join(file);
    if path.as_os_str().len() > MOST_PATH {
        return Err(format!("{} is too long a path", path.display()));
    }
    Ok(path)
}

/// Where they meet without `$TMPDIR`, as in most shells: a folder that only this user can enter. Guards against somebody
/// else who waits there for the listening socket, or hands over one of their own.
fn own_folder(within: &Path) -> Result<PathBuf, String> {
    let user = rustix::process::getuid().as_raw();
    let folder = within.join(format!("fernroute-{user}"));
    let trouble = |why: io::Error| format!("{}: {why}", folder.display());
    match DirBuilder::new().mode(0o700).create(&folder) {
        Err(why) if why.kind() != ErrorKind::AlreadyExists => return Err(trouble(why)),
        _ => {}
    }
    let found = std::fs::symlink_metadata(&folder).map_err(trouble)?;
    if !found.is_dir() || found.uid() != user || found.mode() & 0o077 != 0 {
        return Err(format!("{} is not this user's alone", folder.display()));
    }
    Ok(folder)
}

/// One end of the connection between two processes.
pub struct HandoverConnection {
    stream: UnixStream,
    heard: RefCell<Vec<u8>>,
}

impl HandoverConnection {
    fn new(stream: UnixStream) -> Self {
        HandoverConnection { stream, heard: RefCell::default() }
    }

    /// To the process that is there; none if there is no such file.
    pub async fn connect(path: &Path) -> io::Result<Option<Self>> {
        // Looked for first: where Unix sockets are refused, nobody is there all the same.
        match std::fs::symlink_metadata(path) {
            Err(why) if why.kind() == ErrorKind::NotFound => return Ok(None),
            // Not one that a killed process left: who serves may be without a place to be met at because of it.
            Ok(found) if !found.file_type().is_socket() => {
                return Err(io::Error::new(ErrorKind::AlreadyExists, "a file of somebody else's"));
            }
            _ => {}
        }
        Ok(Some(HandoverConnection::new(UnixStream::connect(path).await?)))
    }

    pub async fn send(&mut self, message: &impl Serialize) -> io::Result<()> {
        self.stream.write_all(&encode(message)).await
    }

    /// The socket goes with the first byte.
    pub async fn send_with_socket(&mut self, message: &impl Serialize, socket: impl AsFd) -> io::Result<()> {
        let line = encode(message);
        let sockets = [socket.as_fd()];
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut with = SendAncillaryBuffer::new(&mut space);
            with.push(SendAncillaryMessage::ScmRights(&sockets));
            Ok(sendmsg(&self.stream, &[IoSlice::new(&line)], &mut with, SendFlags::NOSIGNAL)?)
        };
        let sent = self.stream.async_io(Interest::WRITABLE, send).await?;
        self.stream.write_all(&line[sent..]).await
    }

    /// The next line, and a socket that came with it; none at the end of the connection. What has come of a line stays
    /// for the next call, should this one be dropped.
    pub async fn receive<M: DeserializeOwned>(&self) -> io::Result<Option<(M, Option<OwnedFd>)>> {
        let mut socket = None;
        loop {
            let end = self.heard.borrow().iter().position(|b| *b == b'\n');
            if let Some(end) = end {
                let line: Vec<u8> = self.heard.borrow_mut().drain(..=end).collect();
                return match decode(&line) {
                    Ok(message) => Ok(Some((message, socket))),
                    Err(why) => Err(io::Error::new(ErrorKind::InvalidData, why)),
                };
            }
            if self.heard.borrow().len() > MAX_LINE_BYTES {
                return Err(io::Error::new(ErrorKind::InvalidData, "a line without end"));
            }
            let mut part = [0; 4096];
            let receive = || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut with = RecvAncillaryBuffer::new(&mut space);
                let received = recvmsg(
                    &self.stream,
                    &mut [IoSliceMut::new(&mut part)],
                    &mut with,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                for message in with.drain() {
                    if let RecvAncillaryMessage::ScmRights(sockets) = message {
                        socket = sockets.last().or(socket.take());
                    }
                }
                Ok(received.bytes)
            };
            match self.stream.async_io(Interest::READABLE, receive).await? {
                0 => return Ok(None),
                n => self.heard.borrow_mut().extend_from_slice(&part[..n]),
            }
        }
    }
}

/// Where a successor comes to. The file goes with it.
pub struct HandoverListener {
    listener: UnixListener,
    path: PathBuf,
}

impl HandoverListener {
    /// Takes the place, if nobody has it. A file that nobody listens at is of a process that was killed; one that
    /// somebody does is never removed.
    pub async fn open(path: &Path) -> io::Result<Self> {
        let listener = match UnixListener::bind(path) {
            Err(why) if why.kind() == ErrorKind::AddrInUse => {
                let is_socket = std::fs::symlink_metadata(path)?.file_type().is_socket();
                match UnixStream::connect(path).await {
                    Err(no) if is_socket && no.kind() == ErrorKind::ConnectionRefused => {
                        std::fs::remove_file(path)?
                    }
                    _ => return Err(why),
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
        // Best tried: a file that stays is found stale by whoever comes.
        let _ = std::fs::remove_file(&self.path);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::fs::{symlink, PermissionsExt as _};

    /// Guards against a listening socket that goes to whoever got to the shared folder first.
    #[test]
    fn only_a_folder_of_this_user_alone_is_a_meeting_place() {
        let within = std::env::temp_dir().join(format!("fernroute-own-{}", std::process::id()));
        std::fs::create_dir_all(&within).expect("a folder");
        let folder = own_folder(&within).expect("it is made");
        assert_eq!(own_folder(&within), Ok(folder.clone()));
        std::fs::set_permissions(&folder, std::fs::Permissions::from_mode(0o755)).expect("its mode");
        assert!(own_folder(&within).is_err_and(|why| why.contains("alone")));
        std::fs::remove_dir(&folder).expect("it is empty");
        symlink("/", &folder).expect("a link");
        assert!(own_folder(&within).is_err_and(|why| why.contains("alone")));
        std::fs::remove_file(&folder).expect("it is a link");
        std::fs::write(&folder, "somebody's").expect("a file");
        assert!(own_folder(&within).is_err());
        std::fs::remove_dir_all(&within).expect("it was there");
        assert!(own_folder(&within).is_err());
    }
}
