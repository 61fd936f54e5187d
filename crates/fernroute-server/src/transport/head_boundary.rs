//! Finds the ends of request heads in what a caller sends. No I/O.
//!
//! The HTTP library decodes every head that it has read, and a head of many short fields takes many times its bytes. So it is
//! given one head at a time.

/// What has been seen of the current head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// Nothing, or empty lines before it.
    #[default]
    Start,
    WithinLine,
    /// A line has ended: an empty one ends the head.
    AfterLine,
}

/// The search for the end of the current head. The library takes a line feed alone for the end of a line, too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadBoundary {
    position: Position,
}

impl HeadBoundary {
    /// The number of these bytes up to the end of the head, if it ends within them. The next call begins with another head then.
    pub fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            self.position = match (self.position, byte) {
                (Position::AfterLine, b'\n') => {
                    self.position = Position::Start;
                    return Some(index + 1);
                }
                (Position::WithinLine, b'\n') => Position::AfterLine,
                (position @ (Position::Start | Position::AfterLine), b'\r') => position,
                (Position::Start, b'\n') => Position::Start,
                _ => Position::WithinLine,
            };
        }
        None
    }
}
