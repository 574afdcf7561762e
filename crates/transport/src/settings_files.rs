//! Reads the settings files of one site.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use sedgeridge_state::settings::Layers;
use sedgeridge_state::settings::Override;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::SettingsError;
use sedgeridge_state::settings::SettingsFile;
use sedgeridge_state::settings::effective::EffectiveSettings;
use sedgeridge_state::settings::effective::effective_settings;
use sedgeridge_state::settings::load_layers;
use thiserror::Error;

/// Failure to read or load settings.
#[derive(Debug, Error)]
pub enum ReadSettingsError {
    /// A file could not be read.
    #[error("{}: error: {cause}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        cause: io::Error,
    },
    /// The files were read, but their content is invalid.
    #[error("{}", join_lines(.0))]
    Refused(Vec<SettingsError>),
}

impl ReadSettingsError {
    /// Returns the number of findings.
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

/// The texts of a base file and an overlay.
#[derive(Debug)]
pub struct SettingsTexts {
    base: NamedText,
    overlay: Option<NamedText>,
}

#[derive(Debug)]
struct NamedText {
    name: String,
    text: String,
}

impl SettingsTexts {
    /// Reads the base file, and the overlay if there is one.
    ///
    /// ```
    /// use std::path::Path;
    /// use sedgeridge_transport::settings_files::SettingsTexts;
    /// assert!(SettingsTexts::read(Path::new("no-such.ini"), None).is_err());
    /// ```
    pub fn read(base: &Path, overlay: Option<&Path>) -> Result<Self, ReadSettingsError> {
        Ok(Self {
            base: read(base)?,
            overlay: overlay.map(read).transpose()?,
        })
    }

    /// Loads the settings from the texts; overrides take precedence over both.
    ///
    /// ```no_run
    /// use std::path::Path;
    /// use sedgeridge_transport::settings_files::SettingsTexts;
    /// let texts = SettingsTexts::read(Path::new("base.ini"), None).unwrap();
    /// let settings = texts.load(&[]).unwrap();
    /// ```
    pub fn load(&self, overrides: &[Override]) -> Result<Settings, ReadSettingsError> {
        load_layers(&self.layers(overrides)).map_err(ReadSettingsError::Refused)
    }

    /// Returns every effective setting with its origin.
    ///
    /// ```no_run
    /// use std::path::Path;
    /// use sedgeridge_transport::settings_files::SettingsTexts;
    /// let texts = SettingsTexts::read(Path::new("base.ini"), None).unwrap();
    /// println!("{}", texts.effective(&[]).unwrap());
    /// ```
    pub fn effective(
        &self,
        overrides: &[Override],
    ) -> Result<EffectiveSettings, ReadSettingsError> {
        effective_settings(&self.layers(overrides)).map_err(ReadSettingsError::Refused)
    }

    /// Returns the text of the base file.
    ///
    /// ```no_run
    /// use std::path::Path;
    /// use sedgeridge_transport::settings_files::SettingsTexts;
    /// let texts = SettingsTexts::read(Path::new("base.ini"), None).unwrap();
    /// assert!(texts.base_text().contains("[fleet]"));
    /// ```
    pub fn base_text(&self) -> &str {
        &self.base.text
    }

    /// Returns the text of the overlay, if one was read.
    ///
    /// ```no_run
    /// use std::path::Path;
    /// use sedgeridge_transport::settings_files::SettingsTexts;
    /// let texts = SettingsTexts::read(Path::new("base.ini"), None).unwrap();
    /// assert!(texts.overlay_text().is_none());
    /// ```
    pub fn overlay_text(&self) -> Option<&str> {
        self.overlay.as_ref().map(|overlay| &*overlay.text)
    }

    fn layers<'a>(&'a self, overrides: &'a [Override]) -> Layers<'a> {
        Layers {
            base: self.base.source(),
            overlay: self.overlay.as_ref().map(NamedText::source),
            overrides,
        }
    }
}

impl NamedText {
    fn source(&self) -> SettingsFile<'_> {
        SettingsFile {
            text: &self.text,
            name: &self.name,
        }
    }
}

/// Reads the base file and the overlay, if there is one, and loads the settings; overrides take precedence over
/// both.
///
/// The displayed error lists every finding with file, line, key and hint.
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
    SettingsTexts::read(base_path, overlay_path)?.load(overrides)
}

/// Returns the path of a site's overlay: `site-NAME.ini` in the directory of the base file.
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

fn read(path: &Path) -> Result<NamedText, ReadSettingsError> {
    let text = fs::read_to_string(path).map_err(|cause| ReadSettingsError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    Ok(NamedText {
        name: path.display().to_string(),
        text,
    })
}

fn join_lines(findings: &[SettingsError]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
