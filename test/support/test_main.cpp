// Runs all registered tests, or those whose names contain a given word, but for those that KNOWN-RED.txt
// lists.
//
//   test_NAME [--known-red FILE] [--part K/N] [WORD]
//
// With --part, runs only the K-th of N parts, which together are all tests. Each test is in one part.
//
// Ends with "N passed, N failed".

#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/Test.h>
#include <cppunit/TestSuite.h>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

// Prints each test as it ends, and counts.
class printing_listener final : public CppUnit::TestListener {
public:
    void startTest(CppUnit::Test* /*test*/) override { this->failed = false; }
    void addFailure(const CppUnit::TestFailure& failure) override {
        this->failed = true;
        std::cout << "FAILED " << failure.failedTestName() << "\n  " << failure.sourceLine().fileName() << ":"
                  << failure.sourceLine().lineNumber() << " " << failure.thrownException()->what()
                  << std::endl;
    }
    void endTest(CppUnit::Test* test) override {
        ++(this->failed ? this->failures : this->passes);
        if (!this->failed) {
            std::cout << "passed " << test->getName() << std::endl;
        }
    }

    int passes = 0;
    int failures = 0;
    bool failed = false;
};

// A line "test: NAME" names a test that is known to fail.
std::set<std::string> read_known_red(const std::string& path) {
    std::set<std::string> names;
    std::ifstream file(path);
    const std::string mark = "test: ";
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(mark, 0) == 0) {
            names.insert(line.substr(mark.size()));
        }
    }
    return names;
}

// One of several parts of the tests.
struct test_part {
    std::size_t index = 0;
    std::size_t count = 1;
};

// Parses "K/N", with K from 1 to N. Returns nullopt if the text is not valid.
std::optional<test_part> parse_part(const std::string& text) {
    std::istringstream stream(text);
    std::size_t number = 0;
    std::size_t count = 0;
    char slash = 0;
    stream >> number >> slash >> count;
    if (!stream || slash != '/' || number < 1 || number > count) {
        return std::nullopt;
    }
    return test_part{number - 1, count};
}

void collect(CppUnit::Test* test, std::vector<CppUnit::Test*>& leaves) {
    if (test->getChildTestCount() == 0) {
        leaves.push_back(test);
    }
    for (int i = 0; i < test->getChildTestCount(); ++i) {
        collect(test->getChildTestAt(i), leaves);
    }
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::string word;
    test_part part;
    std::set<std::string> known_red;
    for (int i = 1; i < argc; ++i) {
        if (std::string(argv[i]) == "--known-red" && i + 1 < argc) {
            known_red = read_known_red(argv[++i]);
        } else if (std::string(argv[i]) == "--part" && i + 1 < argc) {
            const auto parsed = parse_part(argv[++i]);
            if (!parsed) {
                std::cerr << "--part needs K/N, with K from 1 to N" << std::endl;
                return 2;
            }
            part = *parsed;
        } else {
            word = argv[i];
        }
    }
    const std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::vector<CppUnit::Test*> leaves;
    collect(all.get(), leaves);
    CppUnit::TestResult result;
    printing_listener listener;
    result.addListener(&listener);
    for (std::size_t i = part.index; i < leaves.size(); i += part.count) {
        CppUnit::Test* test = leaves[i];
        if (known_red.count(test->getName()) != 0) {
            std::cout << "known red, passed over: " << test->getName() << std::endl;
        } else if (word.empty() || test->getName().find(word) != std::string::npos) {
            test->run(&result);
        }
    }
    std::cout << listener.passes << " passed, " << listener.failures << " failed" << std::endl;
    return listener.failures == 0 ? 0 : 1;
}
