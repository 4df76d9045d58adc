#ifndef CYCLAMENWALK_RELOAD_TESTS_MOCKS_SETTINGSFILEFAKE_H
#define CYCLAMENWALK_RELOAD_TESTS_MOCKS_SETTINGSFILEFAKE_H

#include "reload/isettingsfile.h"

#include <functional>

namespace cyclamenwalk {

/// A settings file in memory.
class SettingsFileFake final : public ISettingsFile {
public:
  explicit SettingsFileFake(std::string Text) { write(std::move(Text)); }

  void write(std::string Text) {
    m_Text = std::move(Text);
    m_Stamp = FileStamp{++m_Time, m_Text->size(), 1};
  }

  void remove() {
    m_Text.reset();
    m_Stamp.reset();
  }

  std::optional<FileStamp> stamp() const override { return m_Stamp; }

  std::optional<std::string> read() const override {
    std::optional<std::string> Text = m_Text;
    if (m_OnRead)
      m_OnRead();
    return Text;
  }

  const std::string &path() const override { return m_Path; }

  /// Called after each read.
  std::function<void()> m_OnRead;

private:
  const std::string m_Path = "settings.ini";
  Duration m_Time{};
  std::optional<std::string> m_Text;
  std::optional<FileStamp> m_Stamp;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_RELOAD_TESTS_MOCKS_SETTINGSFILEFAKE_H
