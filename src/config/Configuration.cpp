#include "config/Configuration.h"

#include "base/Text.h"

#include <algorithm>
#include <regex>

#include <Poco/DirectoryIterator.h>
#include <Poco/Exception.h>
#include <Poco/Path.h>
#include <yaml-cpp/yaml.h>

namespace baobabcove {

namespace {

constexpr std::uint32_t MaxShapeCount = 100000;
constexpr std::uint32_t MaxShapeAccelerators = 1024;
constexpr std::size_t DigestLength = 64;

/// Merges the files of a bundle into one configuration, in the order in which
/// they are read, and collects all errors.
class Reader {
public:
  explicit Reader(ConfigurationReport &Report) : Report(Report) {}

  void readFile(const wire::ConfigurationFile &Source) {
    File = Source.name();
    try {
      readRoot(YAML::Load(Source.content()));
    } catch (const YAML::Exception &Exception) {
      Report.Errors.push_back(
          {File, Exception.mark.line + 1, "", Exception.msg});
    }
  }

  void checkMerged() {
    File = "(all files)";
    const YAML::Mark NoMark;
    if (Report.Result.Operators.empty())
      addError(NoMark, "operators",
               "must name at least one operator, who can apply later changes");
  }

private:
  using Member = void (Reader::*)(const std::string &Name,
                                  const std::string &Key,
                                  const YAML::Node &Value);

  /// One key that the items of a section may have.
  struct ItemKey {
    std::string Name;
    Member Read;
  };

  /// One section of a file: a map from the names of items to their keys.
  struct SectionSchema {
    std::string Name;
    std::vector<ItemKey> Keys;
    /// Adds an item with default values.
    void (Reader::*Create)(const std::string &Name);
  };

  static const std::vector<SectionSchema> &sections() {
    static const std::vector<SectionSchema> Table = {
        {"workspaces",
         {{"tokens", &Reader::readTokens},
          {"max_requests", &Reader::readMaxRequests},
          {"max_queued_jobs", &Reader::readMaxQueuedJobs},
          {"guarantee", &Reader::readGuarantee}},
         &Reader::createWorkspace},
        {"services",
         {{"idempotent", &Reader::readIdempotent},
          {"deadline_ms", &Reader::readDeadline}},
         &Reader::createService},
        {"operators",
         {{"token", &Reader::readOperatorToken}},
         &Reader::createOperator},
    };
    return Table;
  }

  void addError(const YAML::Mark &Mark, const std::string &Key,
                const std::string &Problem) {
    const int Line = Mark.is_null() ? 0 : Mark.line + 1;
    Report.Errors.push_back({File, Line, Key, Problem});
  }

  void addUnknownKey(const YAML::Node &Name, const std::string &Path,
                     const std::vector<std::string> &Known) {
    const std::string Suggestion = nearestName(Name.Scalar(), Known);
    std::string Problem = "unknown key";
    if (!Suggestion.empty())
      Problem += "; did you mean \"" + Suggestion + "\"?";
    addError(Name.Mark(), Path + Name.Scalar(), Problem);
  }

  void readRoot(const YAML::Node &Root) {
    if (Root.IsNull())
      return;
    if (!Root.IsMap()) {
      addError(Root.Mark(), "", "the file must be a map of sections");
      return;
    }
    for (const auto &Pair : Root)
      readTopLevelKey(Pair.first, Pair.second);
  }

  void readTopLevelKey(const YAML::Node &Name, const YAML::Node &Value) {
    if (Name.Scalar() == "policy") {
      readPolicy(Value);
      return;
    }
    std::vector<std::string> Known = {"policy"};
    for (const auto &Candidate : sections()) {
      if (Candidate.Name == Name.Scalar()) {
        readSection(Candidate, Value);
        return;
      }
      Known.push_back(Candidate.Name);
    }
    addUnknownKey(Name, "", Known);
  }

  void readSection(const SectionSchema &Schema, const YAML::Node &Items) {
    if (!Items.IsMap()) {
      addError(Items.Mark(), Schema.Name,
               "must be a map from names to their keys");
      return;
    }
    for (const auto &Item : Items)
      readItem(Schema, Item.first, Item.second);
  }

  void readItem(const SectionSchema &Schema, const YAML::Node &Name,
                const YAML::Node &Value) {
    static const std::regex Allowed("[a-z0-9][a-z0-9-]{0,62}");
    const std::string Path = Schema.Name + "." + Name.Scalar();
    if (!std::regex_match(Name.Scalar(), Allowed)) {
      addError(
          Name.Mark(), Path,
          "a name must have 1 to 63 lower-case letters, digits and hyphens, "
          "and must not begin with a hyphen");
      return;
    }
    (this->*Schema.Create)(Name.Scalar());
    if (Value.IsNull())
      return;
    if (!Value.IsMap()) {
      addError(Value.Mark(), Path, "must be a map of keys");
      return;
    }
    for (const auto &Pair : Value)
      readItemKey(Schema, Name.Scalar(), Path + ".", Pair.first, Pair.second);
  }

  void readItemKey(const SectionSchema &Schema, const std::string &Item,
                   const std::string &Path, const YAML::Node &Name,
                   const YAML::Node &Value) {
    std::vector<std::string> Known;
    for (const auto &Key : Schema.Keys) {
      if (Key.Name == Name.Scalar()) {
        (this->*Key.Read)(Item, Path + Key.Name, Value);
        return;
      }
      Known.push_back(Key.Name);
    }
    addUnknownKey(Name, Path, Known);
  }

  bool readNumber(const YAML::Node &Value, const std::string &Key,
                  std::uint32_t Min, std::uint32_t Max, std::uint32_t &Result) {
    long long Number = 0;
    if (Value.IsScalar() && YAML::convert<long long>::decode(Value, Number) &&
        Number >= Min && Number <= Max) {
      Result = static_cast<std::uint32_t>(Number);
      return true;
    }
    addError(Value.Mark(), Key,
             "must be a whole number from " + std::to_string(Min) + " to " +
                 std::to_string(Max));
    return false;
  }

  bool readDigest(const YAML::Node &Value, const std::string &Key,
                  std::string &Result) {
    static const std::regex Digest("[0-9a-f]{64}");
    if (Value.IsScalar() && Value.Scalar().size() == DigestLength &&
        std::regex_match(Value.Scalar(), Digest)) {
      Result = Value.Scalar();
      return true;
    }
    addError(Value.Mark(), Key,
             "must be the SHA-256 of the token, 64 lower-case hex digits");
    return false;
  }

  void createWorkspace(const std::string &Name) {
    Report.Result.Workspaces[Name];
  }
  void createService(const std::string &Name) { Report.Result.Services[Name]; }
  void createOperator(const std::string &Name) {
    Report.Result.Operators[Name];
  }

  void readTokens(const std::string &Name, const std::string &Key,
                  const YAML::Node &Value) {
    if (!Value.IsSequence()) {
      addError(Value.Mark(), Key, "must be a list of SHA-256 digests");
      return;
    }
    std::vector<std::string> Digests;
    for (const auto &Item : Value) {
      std::string Digest;
      if (readDigest(Item, Key, Digest))
        Digests.push_back(Digest);
    }
    Report.Result.Workspaces[Name].TokenDigests = std::move(Digests);
  }

  void readMaxRequests(const std::string &Name, const std::string &Key,
                       const YAML::Node &Value) {
    readNumber(Value, Key, 1, 100000,
               Report.Result.Workspaces[Name].MaxRequests);
  }

  void readMaxQueuedJobs(const std::string &Name, const std::string &Key,
                         const YAML::Node &Value) {
    readNumber(Value, Key, 1, 100000,
               Report.Result.Workspaces[Name].MaxQueuedJobs);
  }

  void readGuarantee(const std::string &Name, const std::string &Key,
                     const YAML::Node &Value) {
    if (!Value.IsSequence()) {
      addError(Value.Mark(), Key, "must be a list of shapes");
      return;
    }
    std::vector<GuaranteeShape> Shapes;
    for (const auto &Item : Value)
      readShape(Key, Item, Shapes);
    Report.Result.Workspaces[Name].Guarantee = std::move(Shapes);
  }

  void readShape(const std::string &Key, const YAML::Node &Item,
                 std::vector<GuaranteeShape> &Shapes) {
    if (!Item.IsMap()) {
      addError(Item.Mark(), Key,
               "a shape must be a map: {count: N, accelerators: N}");
      return;
    }
    GuaranteeShape Shape;
    for (const auto &Pair : Item) {
      const std::string &Field = Pair.first.Scalar();
      if (Field == "count")
        readNumber(Pair.second, Key + ".count", 1, MaxShapeCount, Shape.Count);
      else if (Field == "accelerators")
        readNumber(Pair.second, Key + ".accelerators", 1, MaxShapeAccelerators,
                   Shape.Accelerators);
      else if (Field == "adjacency")
        readAdjacency(Pair.second, Key + ".adjacency", Shape);
      else
        addUnknownKey(Pair.first, Key + ".",
                      {"count", "accelerators", "adjacency"});
    }
    if (Shape.Accelerators == 0)
      addError(Item.Mark(), Key, "a shape must have the key accelerators");
    else
      Shapes.push_back(Shape);
  }

  void readAdjacency(const YAML::Node &Value, const std::string &Key,
                     GuaranteeShape &Shape) {
    const std::string Name = Value.IsScalar() ? Value.Scalar() : "";
    if (Name == "worker")
      Shape.Near = Adjacency::SameWorker;
    else if (Name == "rack")
      Shape.Near = Adjacency::SameRack;
    else if (Name == "data_centre")
      Shape.Near = Adjacency::SameDataCentre;
    else
      addError(Value.Mark(), Key, "must be worker, rack or data_centre");
  }

  void readIdempotent(const std::string &Name, const std::string &Key,
                      const YAML::Node &Value) {
    if (!Value.IsScalar() ||
        !YAML::convert<bool>::decode(Value,
                                     Report.Result.Services[Name].Idempotent))
      addError(Value.Mark(), Key, "must be true or false");
  }

  void readDeadline(const std::string &Name, const std::string &Key,
                    const YAML::Node &Value) {
    readNumber(Value, Key, 1, 600000, Report.Result.Services[Name].DeadlineMs);
  }

  void readOperatorToken(const std::string &Name, const std::string &Key,
                         const YAML::Node &Value) {
    readDigest(Value, Key, Report.Result.Operators[Name].TokenDigest);
  }

  void readPolicy(const YAML::Node &Value) {
    if (!Value.IsMap()) {
      addError(Value.Mark(), "policy", "must be a map of keys");
      return;
    }
    for (const auto &Pair : Value) {
      if (Pair.first.Scalar() != "completion_weight") {
        addUnknownKey(Pair.first, "policy.", {"completion_weight"});
        continue;
      }
      double Weight = 0;
      if (!Pair.second.IsScalar() ||
          !YAML::convert<double>::decode(Pair.second, Weight) ||
          !(Weight >= 0 && Weight <= 1))
        addError(Pair.second.Mark(), "policy.completion_weight",
                 "must be a number from 0 to 1");
      else
        Report.Result.CompletionWeight = Weight;
    }
  }

  ConfigurationReport &Report;
  std::string File;
};

bool byName(const wire::ConfigurationFile &Left,
            const wire::ConfigurationFile &Right) {
  return Left.name() < Right.name();
}

std::map<std::string, std::string>
contents(const wire::ConfigurationBundle &Bundle) {
  std::map<std::string, std::string> Files;
  for (const auto &File : Bundle.files())
    Files[File.name()] = File.content();
  return Files;
}

} // namespace

std::string ConfigurationError::str() const {
  std::string Text = File;
  if (Line > 0)
    Text += ":" + std::to_string(Line);
  if (!Key.empty())
    Text += ": " + Key;
  return Text + ": " + Problem;
}

ConfigurationReport readConfiguration(const wire::ConfigurationBundle &Bundle) {
  ConfigurationReport Report;
  Report.Result.Version = ConfigurationVersion(Bundle.version());
  std::vector<wire::ConfigurationFile> Files(Bundle.files().begin(),
                                             Bundle.files().end());
  std::sort(Files.begin(), Files.end(), byName);
  Reader Merged(Report);
  for (const auto &File : Files)
    Merged.readFile(File);
  Merged.checkMerged();
  return Report;
}

Expected<std::vector<wire::ConfigurationFile>>
readConfigurationFolder(const std::string &Folder) {
  std::vector<wire::ConfigurationFile> Files;
  try {
    for (Poco::DirectoryIterator It(Folder), End; It != End; ++It) {
      const std::string Name = It.name();
      if (Poco::Path(Name).getExtension() != "yaml" || !It->isFile())
        continue;
      wire::ConfigurationFile File;
      File.set_name(Name);
      if (!readFile(It->path(), *File.mutable_content()))
        return failure(ResultCode::ConfigurationInvalid,
                       It->path() + " cannot be read.");
      Files.push_back(File);
    }
  } catch (const Poco::Exception &Exception) {
    return failure(ResultCode::ConfigurationInvalid, Exception.displayText());
  }
  if (Files.empty())
    return failure(ResultCode::ConfigurationInvalid,
                   Folder + " contains no file that ends in .yaml.");
  std::sort(Files.begin(), Files.end(), byName);
  return Files;
}

std::vector<std::string> changedFiles(const wire::ConfigurationBundle &Older,
                                      const wire::ConfigurationBundle &Newer) {
  const auto Before = contents(Older);
  const auto After = contents(Newer);
  std::vector<std::string> Names;
  for (const auto &[Name, Content] : After) {
    const auto Found = Before.find(Name);
    if (Found == Before.end() || Found->second != Content)
      Names.push_back(Name);
  }
  for (const auto &[Name, Content] : Before) {
    if (After.count(Name) == 0)
      Names.push_back(Name);
  }
  return Names;
}

} // namespace baobabcove
