//! Order in which the loss of one data centre leaves as many of the first daemons as possible.

use std::collections::HashMap;

/// Reorders `items` so that the first one of every data centre comes before the second one of any,
/// and so on. Otherwise the order is kept.
pub(crate) fn alternate_centres<'a, T: Copy>(
    items: impl IntoIterator<Item = T>,
    centre: impl Fn(T) -> &'a str,
) -> Vec<T> {
    let mut taken: HashMap<&str, usize> = HashMap::new();
    let mut ranked = Vec::new();
    for item in items {
        let round = taken.entry(centre(item)).or_default();
        ranked.push((*round, item));
        *round += 1;
    }
    // The sort is stable, so the order within each round is kept.
    ranked.sort_by_key(|(round, _)| *round);
    ranked.into_iter().map(|(_, item)| item).collect()
}
