// Reads lines from a stream asynchronously, on the thread-default main context.
#ifndef SOAK_LINE_READER_H_
#define SOAK_LINE_READER_H_

#include <functional>
#include <memory>
#include <string>

#include <gio/gunixinputstream.h>

#include "base/glib_ptr.h"

namespace gentianreach::soak {

class LineReader {
 public:
  // Calls `on_line` for each line, and `on_end` once at the end of the stream.
  LineReader(const GObjectPtr<GInputStream>& stream,
             std::function<void(const std::string&)> on_line,
             std::function<void()> on_end);
  LineReader(const LineReader&) = delete;
  LineReader& operator=(const LineReader&) = delete;
  ~LineReader();

 private:
  // Shared with a pending read, which may outlive the reader.
  struct State {
    GObjectPtr<GDataInputStream> lines;
    std::function<void(const std::string&)> on_line;
    std::function<void()> on_end;
    bool cancelled = false;
  };

  static void ReadNext(const std::shared_ptr<State>& state);
  static void OnRead(GObject* source, GAsyncResult* result, gpointer state);

  std::shared_ptr<State> state_;
};

}  // namespace gentianreach::soak

#endif  // SOAK_LINE_READER_H_
