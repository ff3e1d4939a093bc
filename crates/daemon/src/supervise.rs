//! What a panic said.

use std::any::Any;

/// Text of a panic.
pub(crate) fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    text.unwrap_or("a value that is no text")
}
