//! Patches between two versions of a text, by lines, in the unified format without context.
//!
//! Both directions take time that is about linear in the text, whatever was changed: a version may
//! change every line, and a daemon makes and applies patches on the thread that it also gossips on.
//! The price is that a patch is not always the smallest one. The format is kept as it is because
//! daemons of older builds read and write it.

use {
    diffy::{Line, Patch},
    std::{collections::HashMap, ops::Range},
};

const HEADER: &[u8] = b"--- original\n+++ modified\n";
const NO_NEWLINE: &[u8] = b"\n\\ No newline at end of file\n";

/// Returns a patch that leads from `base` to `new`, or `None` if it would not be smaller than `new`.
///
/// ```
/// use rattanturn_core::line_patch::{apply, create};
/// let (base, new) = (b"a\nb\nc\nd\ne\nf\ng\nh\ni\nj\nk\n".repeat(9), b"a\n".repeat(80));
/// let new = [&base[..], &new[..1]].concat();
/// let patch = create(&base, &new).unwrap();
/// assert_eq!(apply(&base, &patch).unwrap(), new);
/// ```
#[must_use]
pub fn create(base: &[u8], new: &[u8]) -> Option<Vec<u8>> {
    let (before, after) = (lines(base), lines(new));
    let mut out = HEADER.to_vec();
    let (mut old_done, mut new_done) = (0, 0);
    let end = (before.len(), after.len());
    for (old, new_at) in kept_lines(&before, &after).into_iter().chain([end]) {
        if (old, new_at) != (old_done, new_done) {
            let hunk = (old_done..old, new_done..new_at);
            push_hunk(&mut out, (&before, &after), hunk);
        }
        if out.len() >= new.len() {
            return None;
        }
        (old_done, new_done) = (old + 1, new_at + 1);
    }
    Some(out)
}

fn lines(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|byte| *byte == b'\n').collect()
}

/// Indexes, in `before` and `after`, of lines that stay, both rising.
fn kept_lines(before: &[&[u8]], after: &[&[u8]]) -> Vec<(usize, usize)> {
    let same = before.iter().zip(after);
    let head = same.take_while(|(a, b)| a == b).count();
    let (old, new) = (&before[head..], &after[head..]);
    let same = old.iter().rev().zip(new.iter().rev());
    let tail = same.take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[..old.len() - tail], &new[..new.len() - tail]);
    let middle = longest_rising(&equal_lines(old, new));
    let middle = middle.into_iter().map(|(i, j)| (head + i, head + j));
    let ends = (before.len() - tail..before.len()).zip(after.len() - tail..);
    (0..head)
        .map(|i| (i, i))
        .chain(middle)
        .chain(ends)
        .collect()
}

/// Pairs each line of `after` with an equal one of `before`, the first with the first one, and so on.
fn equal_lines(before: &[&[u8]], after: &[&[u8]]) -> Vec<(usize, usize)> {
    // The first unpaired index of each line, and for each index the next one with the same line.
    let mut first: HashMap<&[u8], usize> = HashMap::with_capacity(before.len());
    let mut next = vec![None; before.len()];
    for (i, line) in before.iter().enumerate().rev() {
        next[i] = first.insert(line, i);
    }
    let mut pairs = Vec::with_capacity(after.len());
    for (j, line) in after.iter().enumerate() {
        if let Some(i) = first.remove(line) {
            pairs.push((i, j));
            first.extend(next[i].map(|following| (*line, following)));
        }
    }
    pairs
}

/// The longest part of `pairs` whose first numbers rise, by patience sorting.
fn longest_rising(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    // For each length, the rising part that ends with the lowest number, as an index of its last pair.
    let mut ends: Vec<usize> = Vec::new();
    let mut previous = vec![None; pairs.len()];
    for (at, (number, _)) in pairs.iter().enumerate() {
        let length = ends.partition_point(|end| pairs[*end].0 < *number);
        previous[at] = length.checked_sub(1).map(|shorter| ends[shorter]);
        if length == ends.len() {
            ends.push(at);
        } else {
            ends[length] = at;
        }
    }
    let mut out: Vec<_> = std::iter::successors(ends.last().copied(), |at| previous[*at])
        .map(|at| pairs[at])
        .collect();
    out.reverse();
    out
}

fn push_hunk(
    out: &mut Vec<u8>,
    (before, after): (&[&[u8]], &[&[u8]]),
    (old, new): (Range<usize>, Range<usize>),
) {
    out.extend(format!("@@ -{} +{} @@\n", position(&old), position(&new)).into_bytes());
    before[old]
        .iter()
        .for_each(|line| push_line(out, b'-', line));
    after[new]
        .iter()
        .for_each(|line| push_line(out, b'+', line));
}

/// Number of a range's first line, or of the line before an empty range, and its length.
fn position(range: &Range<usize>) -> String {
    let first = range.start + usize::from(!range.is_empty());
    format!("{first},{}", range.len())
}

fn push_line(out: &mut Vec<u8>, sign: u8, line: &[u8]) {
    out.push(sign);
    out.extend_from_slice(line);
    if !line.ends_with(b"\n") {
        out.extend_from_slice(NO_NEWLINE);
    }
}

/// Returns what `patch` makes of `base`; `None` if it cannot be read or is for another base.
#[must_use]
pub fn apply(base: &[u8], patch: &[u8]) -> Option<Vec<u8>> {
    let patch = Patch::from_bytes(patch).ok()?;
    let mut lines = base.split_inclusive(|byte| *byte == b'\n');
    let mut out = Vec::with_capacity(base.len());
    let mut done = 0;
    for hunk in patch.hunks() {
        let old = hunk.old_range();
        let first = old.start().checked_sub(usize::from(!old.is_empty()))?;
        for _ in 0..first.checked_sub(done)? {
            out.extend_from_slice(lines.next()?);
        }
        done = first + old.len();
        for line in hunk.lines() {
            match line {
                Line::Insert(line) => out.extend_from_slice(line),
                Line::Delete(line) => lines.next().filter(|l| l == line).map(drop)?,
                Line::Context(line) => {
                    let same = lines.next().filter(|l| l == line)?;
                    out.extend_from_slice(same);
                }
            }
        }
    }
    lines.for_each(|line| out.extend_from_slice(line));
    Some(out)
}
