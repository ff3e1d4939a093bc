//! Merges the records of a query's parts.

/// The greatest `top` records of all parts, greatest first, compared byte by byte.
///
/// Records are `width` bytes long. A shorter remainder of a part is no record. Equal records all
/// count.
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
