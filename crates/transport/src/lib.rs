pub mod settings_files;
