#pragma once

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

/// The execution journal: what was run, for checks after a run.
namespace cranberryfold::stand_in {

/// Identifies one run of a request.
struct run_record
{
  std::string mInstance;
  std::uint64_t mRun = 0;
  std::string mRequestId;
  std::string mKey;
  std::string mMethod;
  std::string mPath;

  bool operator==(run_record const&) const = default;
};

/// Writes one key=value line for each start and end of a run. Each line
/// reaches the file before the work goes on, so that a crash loses none.
class journal
{
public:
  /// Appends to aFile; an empty name turns the journal off.
  explicit journal(std::string const& aFile);

  /// Whether the file could be opened.
  bool IsUsable() const { return mIsUsable; }

  void Start(run_record const& aRecord);
  /// aOutcome: done, cancelled, deadline, failed_call or truncated.
  void End(run_record const& aRecord, std::string_view aOutcome);

private:
  struct file_closer
  {
    void operator()(std::FILE* aFile) const { std::fclose(aFile); }
  };

  void Write(std::string_view aEvent,
             run_record const& aRecord,
             std::string_view aOutcome);

  std::unique_ptr<std::FILE, file_closer> mFile;
  bool mIsUsable = true;
};

}
