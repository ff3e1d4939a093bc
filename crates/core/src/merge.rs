//! Merges the partial answers of a fan-out query.

/// Returns the `top` greatest records of all parts, concatenated in descending byte order.
///
/// Each part is a sequence of records of `width` bytes; incomplete bytes at its end are ignored.
/// Equal records are all kept.
///
/// # Panics
///
/// If `width` is 0.
///
/// ```
/// use rattanturn_core::merge::top_records;
/// assert_eq!(top_records(&[b"adc", b"bd"], 1, 3), b"ddc");
/// ```
#[must_use]
pub fn top_records(parts: &[&[u8]], width: usize, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|p| p.chunks_exact(width)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}
