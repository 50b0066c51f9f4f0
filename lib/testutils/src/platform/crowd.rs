//! Crowds of clients that all send the same bytes on connections of their own and keep these open.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::platform::callers::HOST;
use crate::platform::callers::PREFIX;

/// The time after which a client that can't send any more counts as settled.
const BLOCKED: Duration = Duration::from_secs(2);
/// The longest wait for a crowd to settle. A server that serves nobody meanwhile does not end the wait sooner.
const SETTLE_LIMIT: Duration = Duration::from_secs(40);
/// The receive buffer of clients that read no answers, in bytes.
const UNREAD_BUFFER: u32 = 4096;

/// Whether clients read what the server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// They read all of it.
    All,
    /// They read nothing.
    Nothing,
}

/// How far the clients of a crowd have come.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// The clients that send no more: all is sent, the server takes no more, or the connection has ended.
    settled: usize,
    /// The clients whose connections the server has ended.
    ended: usize,
}

/// Clients on connections of their own. Their connections close when the crowd is dropped.
pub struct Crowd {
    clients: Vec<JoinHandle<()>>,
    progress: Rc<RefCell<Progress>>,
}

impl Crowd {
    /// Connects `count` clients that each send `bytes`, and waits until none of them sends any more.
    pub async fn open(server: SocketAddr, count: usize, bytes: Vec<u8>, reading: Reading) -> Crowd {
        let bytes: Rc<[u8]> = Rc::from(bytes);
        let progress = Rc::new(RefCell::new(Progress::default()));
        let clients = (0..count).map(|_| {
            let (bytes, progress) = (bytes.clone(), progress.clone());
            actix_rt::spawn(run_client(server, bytes, reading, progress))
        });
        let crowd = Crowd {
            clients: clients.collect(),
            progress,
        };
        let settled = async {
            while crowd.progress.borrow().settled < count {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = tokio::time::timeout(SETTLE_LIMIT, settled).await;
        crowd
    }

    /// Returns the number of clients whose connections the server has ended.
    pub fn ended(&self) -> usize {
        self.progress.borrow().ended
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.clients.iter().for_each(JoinHandle::abort);
    }
}

async fn run_client(
    server: SocketAddr,
    bytes: Rc<[u8]>,
    reading: Reading,
    progress: Rc<RefCell<Progress>>,
) {
    let Ok(stream) = connect(server, reading).await else {
        let mut progress = progress.borrow_mut();
        progress.settled += 1;
        progress.ended += 1;
        return;
    };
    let (reader, mut writer) = stream.into_split();
    let reading = actix_rt::spawn(read_answers(reader, reading, progress.clone()));
    send(&mut writer, &bytes).await;
    progress.borrow_mut().settled += 1;
    // The connection stays open until the server or the crowd ends it.
    let guard = AbortOnDrop(reading);
    std::future::pending::<()>().await;
    drop(guard);
}

/// Ends a task together with the one that waits for it.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn connect(server: SocketAddr, reading: Reading) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if reading == Reading::Nothing {
        socket.set_recv_buffer_size(UNREAD_BUFFER)?;
    }
    socket.connect(server).await
}

/// Sends as much as the server takes.
async fn send(writer: &mut OwnedWriteHalf, bytes: &[u8]) {
    let mut rest = bytes;
    while !rest.is_empty() {
        match tokio::time::timeout(BLOCKED, writer.write(rest)).await {
            Ok(Ok(n)) if n > 0 => rest = &rest[n..],
            _ => return,
        }
    }
}

async fn read_answers(
    mut reader: OwnedReadHalf,
    reading: Reading,
    progress: Rc<RefCell<Progress>>,
) {
    if reading == Reading::Nothing {
        return std::future::pending().await;
    }
    let mut buffer = vec![0; 4096];
    while matches!(reader.read(&mut buffer).await, Ok(n) if n > 0) {}
    progress.borrow_mut().ended += 1;
}

/// Returns the head of a request to submit a job, with these further lines, each with its line end.
pub fn submit_head(lines: &str) -> Vec<u8> {
    head("POST", &format!("{PREFIX}00000000000000ff"), lines)
}

/// Returns the head of a request.
pub fn head(method: &str, path: &str, lines: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{lines}\r\n").into_bytes()
}

/// Returns a body of chunks of a size, without the chunk that ends it.
pub fn chunks(bytes: usize, size: usize) -> Vec<u8> {
    let mut body = Vec::new();
    let chunk = vec![b' '; size];
    for _ in 0..bytes / size {
        body.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        body.extend_from_slice(&chunk);
        body.extend_from_slice(b"\r\n");
    }
    body
}

/// Returns the whole request to submit a job of these steps.
pub fn job_request(steps: &Value) -> Vec<u8> {
    let body = json!({"spec": "500", "bestEffort": true, "steps": steps}).to_string();
    let head = submit_head(&format!("Content-Length: {}\r\n", body.len()));
    [head, body.into_bytes()].concat()
}
