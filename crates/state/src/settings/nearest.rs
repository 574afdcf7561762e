//! Finds the known name that is most similar to a misspelled one.

/// Maximum edit distance at which a name is suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the candidate most similar to `name`, if any is similar enough.
pub(super) fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let max_distance = MAX_EDIT_DISTANCE.min(name.chars().count() / 2 + 1);
    candidates
        .into_iter()
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= max_distance)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between two names.
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
