//! One client's connection, as its requests and its listener see it.
//!
//! The HTTP library tells a handler neither when its answer was written nor that the client has sent
//! all that it will send, and it has a fixed bound for the head of a request. [`ClientStream`] stands
//! between the library and the socket, notes both, and refuses heads beyond the listener's own bound.

use {
    actix_http::Request,
    actix_rt::net::TcpStream,
    std::{
        any::Any,
        cell::{Cell, RefCell},
        future::{Future, pending},
        io::{self, ErrorKind},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::{Notify, watch},
    },
};

/// The answer to a request whose head is too large.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Bytes that are read at once from a connection whose input is discarded.
const DISCARD_BYTES: usize = 4 << 10;

/// A client's connection.
#[derive(Default)]
pub struct Connection {
    /// When the client's input ended.
    input_ended: Cell<Option<Instant>>,
    ended: Notify,
    /// Number of requests whose handler runs.
    running: Cell<usize>,
    /// Whether bytes were read since the last answer was written.
    has_input: Cell<bool>,
    /// Number of bytes read since the last handler started or ended.
    head: Cell<usize>,
    /// Whether a handler has ended since the last flush.
    answered: Cell<bool>,
    /// Kept until all answers so far are written.
    kept: RefCell<Vec<Box<dyn Any>>>,
}

/// Counts a handler as running until it is dropped.
pub(crate) struct Running(Option<Rc<Connection>>);

impl Running {
    pub(crate) fn new(request: &Request) -> Self {
        let connection = connection(request);
        if let Some(connection) = &connection {
            connection.running.set(connection.running.get() + 1);
            connection.head.set(0);
        }
        Self(connection)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.running.set(connection.running.get() - 1);
            connection.answered.set(true);
            connection.head.set(0);
        }
    }
}

/// The connection of a request; `None` for a request that was not read by a listener.
#[must_use]
pub fn connection(request: &Request) -> Option<Rc<Connection>> {
    request.conn_data::<Rc<Connection>>().cloned()
}

impl Connection {
    /// Drops `value` when the answer of the handler that calls this is written, or the connection is
    /// closed. The handler must return without waiting any more.
    pub fn keep_until_written(&self, value: impl Any) {
        self.kept.borrow_mut().push(Box::new(value));
    }

    /// Completes when the client has sent all that it will send: it waits for answers, or has left.
    /// Returns the time at which its input ended.
    pub async fn input_end(&self) -> Instant {
        loop {
            let ended = self.ended.notified();
            if let Some(time) = self.input_ended.get() {
                return time;
            }
            ended.await;
        }
    }

    fn note_input(&self, bytes: usize) {
        if bytes > 0 {
            self.has_input.set(true);
            self.head.set(self.head.get() + bytes);
        } else {
            self.input_ended.set(Some(Instant::now()));
            self.ended.notify_waiters();
        }
    }

    /// Notes that all answers so far are written; returns whether there were any.
    fn note_written(&self) -> bool {
        self.kept.take();
        let answered = self.answered.take();
        if answered && self.running.get() == 0 {
            self.has_input.set(false);
        }
        answered
    }

    /// Number of bytes that may be read of the current head; `None` while a handler runs.
    fn head_room(&self, max_head: usize) -> Option<usize> {
        let between = self.running.get() == 0;
        between.then(|| max_head.saturating_sub(self.head.get()))
    }

    fn is_idle(&self) -> bool {
        self.running.get() == 0 && !self.has_input.get()
    }
}

/// The stream of a connection. Once its listener closes, its input ends when no request is open.
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: Rc<Connection>,
    closing: Option<Pin<Box<dyn Future<Output = ()>>>>,
    max_head: Option<usize>,
    /// Whether the head has no room, and the library was asked to look for its end.
    is_head_full: bool,
    /// Whether the head was refused. All further input is discarded.
    is_refused: bool,
}

impl ClientStream {
    pub(crate) fn new(
        stream: TcpStream,
        max_head: Option<usize>,
        mut closed: watch::Receiver<bool>,
    ) -> Self {
        let closing = async move {
            if closed.wait_for(|closed| *closed).await.is_err() {
                // The listener was dropped; its connections go on.
                pending::<()>().await;
            }
        };
        Self {
            stream,
            connection: Rc::default(),
            closing: Some(Box::pin(closing)),
            max_head,
            is_head_full: false,
            is_refused: false,
        }
    }

    pub(crate) fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }

    /// Reads from the socket, but no more than there is room for in the current head.
    fn poll_input(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = self.max_head.and_then(|max| self.connection.head_room(max));
        match room {
            _ if self.is_refused => self.poll_discard(cx),
            None => Pin::new(&mut self.stream).poll_read(cx, buffer),
            Some(0) if self.is_head_full => {
                self.is_refused = true;
                // Fails if the client is gone, or has not read what it got before.
                let _ = self.stream.try_write(HEAD_TOO_LARGE);
                self.poll_discard(cx)
            }
            Some(0) => {
                self.is_head_full = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(room) => {
                self.is_head_full = false;
                let room = room.min(buffer.remaining());
                let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
                ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
                let read = part.filled().len();
                buffer.advance(read);
                Poll::Ready(Ok(()))
            }
        }
    }

    /// Discards input until it ends. Closing at once would reset the connection, and the client could not
    /// read the answer.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Reads what has arrived by now, without waiting. The runtime may have asked the system long ago what
    /// has arrived, if the thread was held up since, so this asks the system itself.
    fn read_arrived(&self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let read = rustix::io::read(&self.stream, buffer.initialize_unfilled())?;
        buffer.advance(read);
        Ok(())
    }

    /// Whether the listener closes; the task is woken when it does.
    fn is_closing(&mut self, cx: &mut Context<'_>) -> bool {
        let closing = self.closing.as_mut();
        if closing.is_some_and(|closing| closing.as_mut().poll(cx).is_ready()) {
            self.closing = None;
        }
        self.closing.is_none()
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connection.kept.take();
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buffer.filled().len();
        let read = match this.poll_input(cx, buffer) {
            Poll::Ready(read) => read,
            Poll::Pending if this.is_closing(cx) && this.connection.is_idle() => {
                let read = this.read_arrived(buffer);
                if matches!(&read, Err(error) if error.kind() == ErrorKind::WouldBlock) {
                    return Poll::Ready(Ok(()));
                }
                read
            }
            Poll::Pending => return Poll::Pending,
        };
        if read.is_ok() {
            this.connection.note_input(buffer.filled().len() - before);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    /// The library flushes when it has written all bytes of the answers that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.connection.note_written() && self.closing.is_none() {
            // The library reads before it writes; only the next read ends the input.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
