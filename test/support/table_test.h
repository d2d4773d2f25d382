// Tests as tables: one row, one test, named after suite and row.
#pragma once

#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cppunit/TestAssert.h>
#include <functional>
#include <string>
#include <vector>

namespace cassiaspan::test {

// A test case that runs a function.
class row_test final : public CppUnit::TestCase {
public:
    row_test(const std::string& name, std::function<void()> body_in)
        : TestCase(name), body(std::move(body_in)) {}
    void runTest() override { this->body(); }

private:
    std::function<void()> body;
};

// Makes the suite of a table whose rows have a `name`.
template <class Row> class table_factory final : public CppUnit::TestFactory {
public:
    table_factory(std::string suite_in, std::vector<Row> rows_in, void (*check_in)(const Row&))
        : suite(std::move(suite_in)), rows(std::move(rows_in)), check(check_in) {}
    CppUnit::Test* makeTest() override {
        auto* made = new CppUnit::TestSuite(this->suite);
        for (const Row& row : this->rows) {
            made->addTest(new row_test(this->suite + "/" + row.name, [row, run = this->check] { run(row); }));
        }
        return made;
    }

private:
    std::string suite;
    std::vector<Row> rows;
    void (*check)(const Row&);
};

// Registers a table; keep the object alive as a global constant.
template <class Row> struct test_table {
    test_table(const std::string& suite, std::vector<Row> rows, void (*check)(const Row&))
        : factory(suite, std::move(rows), check) {
        CppUnit::TestFactoryRegistry::getRegistry().registerFactory(&this->factory);
    }
    ~test_table() { CppUnit::TestFactoryRegistry::getRegistry().unregisterFactory(&this->factory); }
    test_table(const test_table&) = delete;
    test_table& operator=(const test_table&) = delete;
    test_table(test_table&&) = delete;
    test_table& operator=(test_table&&) = delete;
    table_factory<Row> factory;
};

// A row that is a whole test of its own.
struct scenario {
    std::string name;
    void (*run)();
};

inline void run_scenario(const scenario& row) {
    row.run();
}

} // namespace cassiaspan::test
