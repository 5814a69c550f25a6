//! Splits lists of changes or entries into parts that each fit into one message.

/// The maximum number of bytes of changes or entries in one message.
pub(super) const MAX_MESSAGE_BYTES: usize = 1150;

/// Splits `items` in order into parts of at most [`MAX_MESSAGE_BYTES`]; `size` returns an item's size in bytes. An item that
/// is larger than that gets a part of its own.
pub(super) fn split<T>(items: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut part_bytes = 0;
    for item in items {
        part_bytes += size(&item);
        match parts.last_mut().filter(|_| part_bytes <= MAX_MESSAGE_BYTES) {
            Some(part) => part.push(item),
            None => {
                part_bytes = size(&item);
                parts.push(vec![item]);
            }
        }
    }
    parts
}
