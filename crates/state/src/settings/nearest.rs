//! Picks the known name that a misspelt one most likely stands for.

/// Largest edit distance at which a name is still offered.
const MAX_DISTANCE: usize = 3;

/// Finds the candidate nearest to `name`, if any is near enough to be a misspelling.
pub(super) fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let allowed = MAX_DISTANCE.min(name.chars().count() / 2 + 1);
    candidates
        .into_iter()
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= allowed)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Counts the insertions, deletions and replacements between two names (Levenshtein).
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, l) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, r) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(l != *r);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
