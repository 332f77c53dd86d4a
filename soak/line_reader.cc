#include "soak/line_reader.h"

#include <utility>

namespace gentianreach::soak {

LineReader::LineReader(const GObjectPtr<GInputStream>& stream,
                       std::function<void(const std::string&)> on_line,
                       std::function<void()> on_end)
    : state_(std::make_shared<State>()) {
  state_->lines = GObjectPtr<GDataInputStream>::Adopt(
      g_data_input_stream_new(stream.get()));
  state_->on_line = std::move(on_line);
  state_->on_end = std::move(on_end);
  ReadNext(state_);
}

LineReader::~LineReader() {
  state_->cancelled = true;
}

void LineReader::ReadNext(const std::shared_ptr<State>& state) {
  g_data_input_stream_read_line_async(state->lines.get(), G_PRIORITY_DEFAULT,
                                      nullptr, &LineReader::OnRead,
                                      new std::shared_ptr<State>(state));
}

void LineReader::OnRead(GObject* /*source*/,
                        GAsyncResult* result,
                        gpointer data) {
  const std::unique_ptr<std::shared_ptr<State>> owned(
      static_cast<std::shared_ptr<State>*>(data));
  const std::shared_ptr<State> state = *owned;
  gsize size = 0;
  char* raw = g_data_input_stream_read_line_finish(state->lines.get(), result,
                                                   &size, nullptr);
  if (state->cancelled) {
    g_free(raw);
    return;
  }
  if (raw == nullptr) {
    state->on_end();
    return;
  }
  const std::string line(raw, size);
  g_free(raw);
  state->on_line(line);
  if (!state->cancelled) {
    ReadNext(state);
  }
}

}  // namespace gentianreach::soak
