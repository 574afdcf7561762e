//! Reads the settings files of one site.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use sedgeridge_state::settings::Layers;
use sedgeridge_state::settings::Override;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::SettingsError;
use sedgeridge_state::settings::Source;
use sedgeridge_state::settings::load_layers;
use thiserror::Error;

/// Why settings could not be read.
#[derive(Debug, Error)]
pub enum ReadSettingsError {
    /// A file could not be read.
    #[error("{}: error: {cause}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: io::Error,
    },
    /// The files were read, and their content refused.
    #[error("{}", list(.0))]
    Refused(Vec<SettingsError>),
}

impl ReadSettingsError {
    /// Counts the findings.
    ///
    /// ```
    /// use sedgeridge_transport::settings_files::ReadSettingsError;
    /// assert_eq!(ReadSettingsError::Refused(Vec::new()).count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        match self {
            Self::Unreadable { .. } => 1,
            Self::Refused(findings) => findings.len(),
        }
    }
}

/// Reads and loads the base file, the overlay if there is one, and the overrides above both.
///
/// Displaying the error gives every finding with file, line, key and hint.
///
/// ```
/// use std::path::Path;
/// use sedgeridge_transport::settings_files::read_settings;
/// assert!(read_settings(Path::new("no-such.ini"), None, &[]).is_err());
/// ```
pub fn read_settings(
    base_path: &Path,
    overlay_path: Option<&Path>,
    overrides: &[Override],
) -> Result<Settings, ReadSettingsError> {
    let base_text = read(base_path)?;
    let base_name = base_path.display().to_string();
    let overlay = match overlay_path {
        Some(path) => Some((read(path)?, path.display().to_string())),
        None => None,
    };
    let layers = Layers {
        base: Source {
            text: &base_text,
            name: &base_name,
        },
        overlay: overlay.as_ref().map(|(text, name)| Source { text, name }),
        overrides,
    };
    load_layers(&layers).map_err(ReadSettingsError::Refused)
}

/// Names the overlay of a site: `site-NAME.ini` beside the base file.
///
/// ```
/// use std::path::Path;
/// use sedgeridge_transport::settings_files::overlay_path;
/// let path = overlay_path(Path::new("config/base.ini"), "magazzino");
/// assert_eq!(path, Path::new("config/site-magazzino.ini"));
/// ```
pub fn overlay_path(base_path: &Path, site: &str) -> PathBuf {
    base_path.with_file_name(format!("site-{site}.ini"))
}

fn read(path: &Path) -> Result<String, ReadSettingsError> {
    fs::read_to_string(path).map_err(|cause| ReadSettingsError::Unreadable {
        path: path.to_owned(),
        cause,
    })
}

fn list(findings: &[SettingsError]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
